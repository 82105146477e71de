// Package standard registers the plug-ins that are part of jaylink and defines the
// order in which they run.
package standard

import (
	"jaylink/kernel"

	// The blank imports register the modules.
	_ "jaylink/plugin/filter/capacity"
	_ "jaylink/plugin/filter/isolate"
	_ "jaylink/plugin/filter/leaving"
	_ "jaylink/plugin/filter/patience"
	_ "jaylink/plugin/filter/suspect"
	_ "jaylink/plugin/limit/customer"
	_ "jaylink/plugin/limit/deadline"
	_ "jaylink/plugin/limit/queue"
	_ "jaylink/plugin/retry/budget"
	_ "jaylink/plugin/retry/repeatable"
	_ "jaylink/plugin/retry/timeout"
	_ "jaylink/plugin/scorer/leastloaded"
	_ "jaylink/plugin/scorer/load"
	_ "jaylink/plugin/scorer/locality"
	_ "jaylink/plugin/scorer/prefix"
	_ "jaylink/plugin/scorer/price"
	_ "jaylink/plugin/scorer/roundrobin"
)

// Order lists the modules that are used by default; the settings can specify others.
// The modules of a namespace run in this order.
var Order = []kernel.ModuleID{
	"limit.customer",
	"limit.queue",
	"limit.deadline",
	"filter.leaving",
	"filter.suspect",
	"filter.isolate",
	"filter.capacity",
	"filter.patience",
	"scorer.load",
	"scorer.prefix",
	"scorer.price",
	"scorer.locality",
	"retry.repeatable",
	"retry.budget",
	"retry.timeout",
}
