package main

import (
	"fmt"
	"net"
	"net/netip"

	"herontiller/internal/frontdoor"
	"herontiller/internal/scalelab"
)

const mostBackends = 1000 // each holds a listening socket

// environment is what a gateway needs around it.
type environment struct {
	servers *scalelab.Servers
	agent   *scalelab.Agent
}

// startEnvironment starts so many backends and an agent that lists them at a loopback address, host:port.
func startEnvironment(discovery string, backends int) (*environment, error) {
	if backends < 1 || backends > mostBackends {
		return nil, fmt.Errorf("%d backends: from 1 to %d can be started", backends, mostBackends)
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

// endpoints lists backends at the addresses, all ready and started long ago.
func endpoints(addresses []string) []frontdoor.Endpoint {
	hosts := make([]frontdoor.Endpoint, len(addresses))
	for i, address := range addresses {
		hosts[i] = frontdoor.Endpoint{Host: fmt.Sprintf("backend-%d", i+1), Address: address, Zone: "zone-a", Kind: "standin",
			Cell: i, State: "Ready", Weight: 1}
	}
	return hosts
}

// stop ends the agent and the backends.
func (e *environment) stop() {
	e.agent.Stop()
	e.servers.Stop()
}
