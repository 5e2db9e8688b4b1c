package place

// Usage is the number of requests that generate output on an engine and the KV cache that they occupy.
type Usage struct {
	Requests int
	Tokens   int // KV cache in tokens.
}

// Add returns the sum of u and other.
func (u Usage) Add(other Usage) Usage {
	return Usage{Requests: u.Requests + other.Requests, Tokens: u.Tokens + other.Tokens}
}
