package entry

import (
	"net/http"
	"sync"
	"time"

	"jaylink/decision/reason"
	"jaylink/operator"
)

// usageKey says whose usage of what.
type usageKey struct{ customer, service string }

// usageCounts counts what customers used since the entry's start. Its size is
// bounded by the customers and services that requests were accepted for.
type usageCounts struct {
	mu    sync.Mutex
	since time.Time
	items map[usageKey]*operator.Usage
}

func newUsageCounts() *usageCounts {
	return &usageCounts{since: time.Now(), items: map[usageKey]*operator.Usage{}}
}

// item returns the counts of a customer and service; the caller holds the lock.
func (c *usageCounts) item(customer, service string) *operator.Usage {
	key := usageKey{customer, service}
	u := c.items[key]
	if u == nil {
		u = &operator.Usage{Customer: customer, Service: service, Refused: map[reason.Reason]int64{}}
		c.items[key] = u
	}
	return u
}

func (c *usageCounts) accepted(customer, service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.item(customer, service).Accepted++
}

// ended counts the end of an accepted request; why is "" for an answer.
func (c *usageCounts) ended(customer, service string, tokens int, why reason.Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.item(customer, service)
	u.Tokens += int64(tokens)
	if why == "" {
		u.Answered++
		return
	}
	u.Refused[why]++
}

func (c *usageCounts) list(entry string) operator.UsageList {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := operator.UsageList{Entry: entry, Since: c.since}
	for _, u := range c.items {
		out.Items = append(out.Items, *u)
	}
	// MergeUsage copies the maps and sorts.
	out.Items = operator.MergeUsage(out)
	return out
}

func (e *Entry) handleUsage(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.driver.usage.list(e.settings.Name))
}
