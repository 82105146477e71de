package peer

import "jaylink/peer/peerpb"

// Self describes this entry as peers see it. The caller must not change it.
func (n *Node) Self() *peerpb.Member { return n.opts.Self }
