package engine

import (
	"net/http"
	"time"

	"jaylink/standin"
	"jaylink/upstream"
)

// ReceivedOrder is an order as the stand-in saw it.
type ReceivedOrder struct {
	upstream.Order
	At time.Time `json:"at"`
	// Refused says that the fencing number was old.
	Refused bool `json:"refused"`
}

// orders is what an engine knows of its orders.
type orders struct {
	state    upstream.EngineState
	highest  uint64
	received []ReceivedOrder
}

func (s *Server) getState(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, s.orders.state)
}

// takeOrder loads what is ordered. An engine that checks fencing numbers
// refuses one below the highest that it saw; others take any.
func (s *Server) takeOrder(w http.ResponseWriter, r *http.Request) {
	var order upstream.Order
	if !standin.ReadJSON(w, r, &order) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	refused := s.opts.ChecksFencing && order.Generation < s.orders.highest
	s.orders.received = append(s.orders.received, ReceivedOrder{Order: order, At: time.Now(), Refused: refused})
	if refused {
		standin.WriteError(w, http.StatusConflict, "old fencing number")
		return
	}
	s.orders.highest = max(s.orders.highest, order.Generation)
	s.orders.state = order.EngineState
	standin.WriteJSON(w, http.StatusOK, s.orders.state)
}

func (s *Server) listOrders(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, s.orders.received)
}
