package testfleet

import (
	"encoding/json"
	"net/http"
)

// Metrics returns the counters and gauges of an entry by name.
func Metrics(e *Entry) (map[string]int, error) {
	resp, err := http.Get("http://" + e.Operator + "/v1/metrics")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var all map[string]struct {
		Count int `json:"count"`
		Value int `json:"value"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&all); err != nil {
		return nil, err
	}
	out := map[string]int{}
	for name, m := range all {
		out[name] = m.Count + m.Value // only a counter has Count, only a gauge has Value
	}
	return out, nil
}
