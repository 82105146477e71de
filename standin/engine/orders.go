package engine

import (
	"net/http"
	"time"

	"jaylink/standin"
	"jaylink/upstream"
)

// ReceivedOrder is an order that the engine received.
type ReceivedOrder struct {
	upstream.Order
	At time.Time `json:"at"`
	// Refused reports that the fencing token was outdated.
	Refused bool `json:"refused"`
}

// orders has the orders that an engine received and the state they led to.
type orders struct {
	state             upstream.EngineState
	highestGeneration uint64
	received          []ReceivedOrder
}

func (s *Server) getState(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, s.orders.state)
}

// applyOrder sets the state that an order asks for. An engine that checks fencing
// refuses an order whose generation is below the highest one accepted; other
// engines accept any.
func (s *Server) applyOrder(w http.ResponseWriter, r *http.Request) {
	var order upstream.Order
	if !standin.ReadJSON(w, r, &order) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	refused := s.opts.ChecksFencing && order.Generation < s.orders.highestGeneration
	s.orders.received = append(s.orders.received, ReceivedOrder{Order: order, At: time.Now(), Refused: refused})
	if refused {
		standin.WriteError(w, http.StatusConflict, "outdated fencing token")
		return
	}
	s.orders.highestGeneration = max(s.orders.highestGeneration, order.Generation)
	s.orders.state = order.EngineState
	standin.WriteJSON(w, http.StatusOK, s.orders.state)
}

func (s *Server) listOrders(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, s.orders.received)
}
