package main

import (
	"fmt"
	"net"
	"net/netip"

	"herontiller/internal/frontdoor"
	"herontiller/internal/scalelab"
)

const maxBackends = 1000 // each uses a listening socket

// environment holds the backends and the discovery agent that a gateway needs.
type environment struct {
	servers *scalelab.Servers
	agent   *scalelab.Agent
}

// startEnvironment starts a number of backends, and an agent that lists them at the discovery address. The address has
// the form host:port and must be on the loopback interface.
func startEnvironment(discovery string, backends int) (*environment, error) {
	if backends < 1 || backends > maxBackends {
		return nil, fmt.Errorf("%d backends: must be between 1 and %d", backends, maxBackends)
	}
	address, err := netip.ParseAddrPort(discovery)
	if err != nil {
		return nil, fmt.Errorf("discovery address: %w", err)
	}
	if !address.Addr().IsLoopback() {
		return nil, fmt.Errorf("discovery address %s is not on the loopback interface", discovery)
	}
	listener, err := net.Listen("tcp", discovery)
	if err != nil {
		return nil, err
	}
	servers, err := scalelab.StartServers(backends)
	if err != nil {
		listener.Close()
		return nil, err
	}
	agent, err := scalelab.ServeAgent(listener, endpoints(servers.Addresses))
	if err != nil {
		servers.Stop()
		return nil, err
	}
	return &environment{servers: servers, agent: agent}, nil
}

// endpoints returns a list of backends at the addresses. All are ready and, as their start time is 0, warm.
func endpoints(addresses []string) []frontdoor.Endpoint {
	list := make([]frontdoor.Endpoint, len(addresses))
	for i, address := range addresses {
		list[i] = frontdoor.Endpoint{Host: fmt.Sprintf("backend-%d", i+1), Address: address, Zone: "zone-a",
			MachineType: "standin", Cell: i, State: "Ready", Weight: 1}
	}
	return list
}

// stop stops the agent and the backends.
func (e *environment) stop() {
	e.agent.Stop()
	e.servers.Stop()
}
