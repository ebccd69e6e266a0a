package frontdoor

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// BenchmarkRequest measures one request through a gateway, including the work of the client and the backend.
func BenchmarkRequest(b *testing.B) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, "ok")
	}))
	b.Cleanup(backend.Close)
	instance := startGateway(b, newScriptedHandler(sendAllTo(1)), strings.TrimPrefix(backend.URL, "http://"))
	client := &http.Transport{}
	b.ReportAllocs()
	for id := 0; b.Loop(); id++ {
		for len(instance.loop.gateway.(*scriptedHandler).received) > 0 {
			<-instance.loop.gateway.(*scriptedHandler).received
		}
		res, err := client.RoundTrip(instance.newRequest(b, "look", func(r *http.Request) {
			r.Header.Set("Request-Id", fmt.Sprintf("%016x", id))
		}))
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil || res.StatusCode != 200 {
			b.Fatal(res.Status, err)
		}
		res.Body.Close()
	}
}
