package scalelab

import (
	"io"
	"net"
	"net/http"
)

// Servers are stand-ins for backends on real sockets of the loopback interface. They answer at once.
type Servers struct {
	Addresses []string
	servers   []*http.Server
}

// StartServers starts so many.
func StartServers(count int) (*Servers, error) {
	servers := &Servers{}
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			servers.Stop()
			return nil, err
		}
		server := &http.Server{Handler: http.HandlerFunc(answerAtOnce)}
		servers.Addresses = append(servers.Addresses, listener.Addr().String())
		servers.servers = append(servers.servers, server)
		go server.Serve(listener)
	}
	return servers, nil
}

func answerAtOnce(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-RateLimit-Used", "10")
	_, _ = io.WriteString(w, "ok")
}

// Stop ends all of them.
func (s *Servers) Stop() {
	for _, server := range s.servers {
		server.Close()
	}
}
