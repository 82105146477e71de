package peer

import "jaylink/peer/peerpb"

// Self returns the description of this entry that peers receive. The caller must not
// modify it.
func (n *Node) Self() *peerpb.Member { return n.opts.Self }
