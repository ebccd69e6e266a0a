package scalelab

import (
	"math/rand/v2"
	"runtime"
	"time"

	"herontiller/internal/frontdoor"
)

// loopTimerDelay is the longest time until the last timer of a closed loop fires.
const loopTimerDelay = 1100 * time.Millisecond

// measureProgram measures the cost of the real program around the decision module: loading the configuration file, and
// applying the list and its changes in the event loop that owns the module. It uses no sockets.
func (c *Cost) measureProgram(backends []BackendInfo, settings Settings, random *rand.Rand) error {
	var config frontdoor.Config
	var err error
	c.SettingsMicros = processorMicros(func() { config, err = loadRealConfig(settings, "127.0.0.1:1") }, 1)
	if err != nil {
		return err
	}
	hosts := make([]frontdoor.Endpoint, len(backends))
	for i, backend := range backends {
		hosts[i] = toEndpoint(asReady(backend, 0), backendAddress(backend.ID))
	}
	before := liveHeapBytes()
	loop, err := frontdoor.NewLoop(config, frontdoor.NewBackends(config))
	if err != nil {
		return err
	}
	defer func() {
		loop.Close()
		// A pending timer keeps a reference to the loop, whose memory would count in the next measurement.
		time.Sleep(loopTimerDelay)
	}()
	c.ProgramListMicros = processorMicros(func() {
		loop.Update(frontdoor.EndpointList{Version: 1, Full: true, Endpoints: hosts})
	}, 1)
	c.ProgramStateBytes = float64(liveHeapBytes()) - float64(before)
	c.ProgramChangeMicros = processorMicros(func() {
		for range measuredChanges / 2 {
			host := hosts[random.IntN(len(hosts))]
			for _, health := range []string{"Terminating", "Ready"} {
				host.State = health
				loop.Update(frontdoor.EndpointList{Endpoints: []frontdoor.Endpoint{host}})
			}
		}
	}, measuredChanges)
	runtime.KeepAlive(hosts)
	return nil
}
