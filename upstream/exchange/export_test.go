package exchange

// WriteEnded is closed once the request was written or its write has failed.
func (a *Answer) WriteEnded() <-chan struct{} { return a.write.done }
