package entry

import (
	"net/http"
	"sync"
	"time"

	"jaylink/decision/reason"
	"jaylink/operator"
)

// usageKey identifies the usage of one service by one customer.
type usageKey struct{ customer, service string }

// usageCounts counts usage per customer and service since the entry started.
// Its size is bounded by the customers and services of accepted requests.
type usageCounts struct {
	mu    sync.Mutex
	since time.Time
	items map[usageKey]*operator.Usage
}

func newUsageCounts() *usageCounts {
	return &usageCounts{since: time.Now(), items: map[usageKey]*operator.Usage{}}
}

// countsFor returns the counts of a customer and service. The caller must hold
// c.mu.
func (c *usageCounts) countsFor(customer, service string) *operator.Usage {
	key := usageKey{customer, service}
	u := c.items[key]
	if u == nil {
		u = &operator.Usage{Customer: customer, Service: service, Refused: map[reason.Reason]int64{}}
		c.items[key] = u
	}
	return u
}

func (c *usageCounts) addAccepted(customer, service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.countsFor(customer, service).Accepted++
}

// addEnded counts the end of an accepted request. code is the reason of a
// refusal, or "" for an answer.
func (c *usageCounts) addEnded(customer, service string, tokens int, code reason.Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.countsFor(customer, service)
	u.Tokens += int64(tokens)
	if code == "" {
		u.Answered++
		return
	}
	u.Refused[code]++
}

func (c *usageCounts) list(entry string) operator.UsageList {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := operator.UsageList{Entry: entry, Since: c.since}
	for _, u := range c.items {
		out.Items = append(out.Items, *u)
	}
	// MergeUsage copies the maps and sorts the items.
	out.Items = operator.MergeUsage(out)
	return out
}

func (e *Entry) handleUsage(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.driver.usage.list(e.settings.Name))
}
