// Package outlet sends HTTP/1.1 requests to upstreams and tells whether one can have run.
package outlet
