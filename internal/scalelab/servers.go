package scalelab

import (
	"io"
	"net"
	"net/http"
)

// Servers are stand-in backends on loopback sockets. They answer every request immediately.
type Servers struct {
	Addresses []string
	servers   []*http.Server
}

// StartServers starts count servers on free ports.
func StartServers(count int) (*Servers, error) {
	servers := &Servers{}
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			servers.Stop()
			return nil, err
		}
		server := &http.Server{Handler: http.HandlerFunc(answerOK)}
		servers.Addresses = append(servers.Addresses, listener.Addr().String())
		servers.servers = append(servers.servers, server)
		go server.Serve(listener)
	}
	return servers, nil
}

// answerOK answers 200 with a fixed meter reading.
func answerOK(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-RateLimit-Used", "10")
	_, _ = io.WriteString(w, "ok")
}

// Stop closes all servers.
func (s *Servers) Stop() {
	for _, server := range s.servers {
		server.Close()
	}
}
