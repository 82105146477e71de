package main

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

func init() { cases["9"] = lastTenantRemoved }

// Case 9: after a change of the config, requests are sent until the bound has passed by far.
const (
	configApply  = 2500 * time.Millisecond
	afterApply   = time.Second
	requestsOf9  = 20
	unknownKey   = "no-config-ever-held-this-key"
	budgetOf9    = 2 * time.Second
	pauseBetween = 50 * time.Millisecond
)

func lastTenantRemoved(w *world) ([]string, error) {
	routes := []route{
		{name: "slot-booking", kind: "non_idempotent", service: "workshop-desk", attempts: 2, timeoutMs: 2000},
		{name: "order-lookup", kind: "idempotent", service: "workshop-desk", attempts: 2, timeoutMs: 2000},
	}
	w.putConfig(routes, nil, []string{"workshop-desk"})
	answerAtOnce := func(s *server, c *net.TCPConn, r *http.Request) bool {
		id := r.Header.Get("Request-Id")
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: %s\r\nContent-Length: 2\r\n\r\nok", id, s.sealOf(id))
		return err == nil
	}
	for i := range 3 {
		if err := w.startServer(&server{id: fmt.Sprintf("i-desk-%d", i+1), service: "workshop-desk", handle: answerAtOnce}); err != nil {
			return nil, err
		}
	}
	if err := w.startGateways(3); err != nil {
		return nil, err
	}
	var broken []string
	if a := w.askWith(w.gateways[0], clientKey, http.MethodGet, "/order-lookup/7", "", "", budgetOf9); a.status != http.StatusOK {
		return nil, fmt.Errorf("a request with the key of a tenant gets %d", a.status)
	}
	if a := w.askWith(w.gateways[0], unknownKey, http.MethodGet, "/order-lookup/7", "", "", budgetOf9); a.status != http.StatusUnauthorized {
		broken = append(broken, fmt.Sprintf("ROUTE: a request with an unknown key gets %d under the first config", a.status))
	}
	err := w.changeConfig(2, func(config map[string]any) {
		if w.trouble {
			w.note("the operator removes the last tenant")
			config["tenants"] = []any{}
		}
	})
	if err != nil {
		return nil, err
	}
	time.Sleep(configApply + afterApply)
	for i := range requestsOf9 {
		g := w.gateways[i%len(w.gateways)]
		for _, key := range []string{clientKey, unknownKey} {
			a := w.askWith(g, key, http.MethodPost, "/slot-booking/7", "", "wheel", budgetOf9)
			switch {
			case a.status != http.StatusOK:
			case key == unknownKey:
				broken = append(broken, fmt.Sprintf("ROUTE: request %s has run, whose key no config ever held", a.id))
			case w.trouble:
				broken = append(broken, fmt.Sprintf("CONFIG: request %s has run with a key that was dropped %v before", a.id, configApply+afterApply))
			}
		}
		time.Sleep(pauseBetween)
	}
	return broken, nil
}
