package operator

import (
	"cmp"
	"slices"
	"time"

	"jaylink/decision/reason"
)

// Usage is one customer's usage of one service.
type Usage struct {
	Customer string `json:"customer"`
	Service  string `json:"service"`
	Accepted int64  `json:"accepted"`
	Answered int64  `json:"answered"`
	// Tokens counts the generated tokens delivered to callers, including those
	// of answers that were aborted.
	Tokens int64 `json:"tokens"`
	// Refused counts the accepted requests that were finally refused, by reason.
	Refused map[reason.Reason]int64 `json:"refused,omitempty"`
}

// UsageList contains the usage that an entry has counted since its start.
type UsageList struct {
	Entry string    `json:"entry"`
	Since time.Time `json:"since"`
	Items []Usage   `json:"items"`
}

// MergeUsage sums the usage counted by several entries, by customer and service. The
// result is sorted by both.
func MergeUsage(lists ...UsageList) []Usage {
	out := []Usage{}
	for _, list := range lists {
		for _, u := range list.Items {
			out = addUsage(out, u)
		}
	}
	slices.SortFunc(out, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Service, b.Service))
	})
	return out
}

func addUsage(sum []Usage, u Usage) []Usage {
	i := slices.IndexFunc(sum, func(s Usage) bool { return s.Customer == u.Customer && s.Service == u.Service })
	if i < 0 {
		sum = append(sum, Usage{Customer: u.Customer, Service: u.Service, Refused: map[reason.Reason]int64{}})
		i = len(sum) - 1
	}
	sum[i].Accepted += u.Accepted
	sum[i].Answered += u.Answered
	sum[i].Tokens += u.Tokens
	for why, n := range u.Refused {
		sum[i].Refused[why] += n
	}
	return sum
}
