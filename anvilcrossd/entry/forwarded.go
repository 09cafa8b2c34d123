package entry

import (
	"net/http"

	"anvilcross/anvilcrossd/forward"
	"anvilcross/anvilcrossd/h1"
	"anvilcross/kernel/gateway"
	"anvilcross/platform"
)

// ServeForwarded serves a request that another instance has forwarded. It panics as
// ServeHTTP does.
func (s *Server) ServeForwarded(w http.ResponseWriter, r *http.Request) {
	s.activeForwarded.Add(1)
	defer s.activeForwarded.Add(-1)
	forwarding, err := forward.TakeRequest(r.Header)
	if err != nil {
		s.reject(w, r, http.StatusBadRequest, err.Error())
		return
	}
	s.serve(w, r, &forwarding)
}

// ActiveForwarded returns the number of requests of other instances that are not finished.
func (s *Server) ActiveForwarded() int64 { return s.activeForwarded.Load() }

// header returns the header of the request as it is sent to an endpoint or an instance.
func (c *callerExchange) header(send *gateway.Send) http.Header {
	if send.Member == "" {
		return platform.EndpointHeader(c.request.Header, *send)
	}
	h := platform.ForwardHeader(c.request.Header, *send)
	forward.SetRequest(h, send.Forwarding)
	return h
}

// handleForwardAnswer passes the own answer of an instance to which the request was forwarded
// to the gateway. It returns false if the response is that of an endpoint.
func (c *callerExchange) handleForwardAnswer(send *gateway.Send, response *h1.Response) bool {
	answer, isAnswer, err := forward.ReadAnswer(response.Header)
	if !isAnswer {
		return false
	}
	discard(response)
	if err != nil {
		c.reportFailure(send, gateway.InvalidResponse, "", err.Error())
		return true
	}
	c.withGateway(func(g *gateway.Gateway) { g.HandleForwardAnswer(c.active.handle, send.Attempt, answer) })
	return true
}
