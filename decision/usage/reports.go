package usage

import "maps"

// Reports remembers which windows have a report that may have been sent. The report of a
// window is stored once and may be sent again only as it was stored, but a store that comes
// back from an older copy may have lost it.
//
// The holder of the duty announces a window before it stores and sends the report. Every
// entry remembers the announcements, so that a successor does not report the window
// differently.
type Reports struct {
	// firstEra is the first era of the store, in which nothing is lost.
	firstEra uint64
	// eras maps announced windows to the eras in which they were announced.
	eras map[int64]uint64
	// newest is the newest announced window, or 0.
	newest int64
	// since is the first window whose announcement this process would have heard.
	since int64
}

// NewReports returns a Reports without announcements. Windows before since may have been
// announced before this process could hear of it.
func NewReports(firstEra uint64, since int64) *Reports {
	return &Reports{firstEra: firstEra, eras: map[int64]uint64{}, since: since}
}

// Announce remembers that the report of a window may be sent from now on.
func (r *Reports) Announce(window int64, era uint64) {
	if known, ok := r.eras[window]; ok && known <= era {
		return
	}
	r.eras[window] = era
	r.newest = max(r.newest, window)
	maps.DeleteFunc(r.eras, func(w int64, _ uint64) bool { return w <= r.newest-maxAnnounced })
}

// maxAnnounced is the number of windows whose announcements are remembered one by one.
const maxAnnounced = 64

// Newest returns the newest announced window and its era, or 0 if there is none.
func (r *Reports) Newest() (window int64, era uint64) { return r.newest, r.eras[r.newest] }

// MayBeLost reports whether the store, in the given era, may have lost the report of a
// window that was sent. If so, and the store has none, the window must not be reported.
func (r *Reports) MayBeLost(window int64, era uint64) bool {
	if era <= r.firstEra {
		return false
	}
	if announced, ok := r.eras[window]; ok {
		return announced < era
	}
	return r.MayBeSent(window)
}

// MayBeSent reports whether the report of a window may have been sent.
func (r *Reports) MayBeSent(window int64) bool { return window <= r.newest || window < r.since }
