package node

// FailListener reports an error of a listener to Run.
func (node *Node) FailListener(err error) { node.reportServeError(err) }
