package scalelab

import (
	"math/rand/v2"
	"runtime"
	"time"

	"herontiller/internal/frontdoor"
)

// loopTimerDelay is the longest time until the last timer of a closed loop fires. That timer is the tick, which is due
// once per second.
const loopTimerDelay = 1100 * time.Millisecond

// measureProgram measures the cost of the real program around the decision module: loading the configuration file, and
// applying the full list and changes of one entry in the event loop that owns the module. It uses no sockets.
func (c *Cost) measureProgram(backends []BackendInfo, settings Settings, random *rand.Rand) error {
	var config frontdoor.Config
	var err error
	c.SettingsMicros = processorMicros(func() { config, err = loadRealConfig(settings, "127.0.0.1:1") }, 1)
	if err != nil {
		return err
	}
	endpoints := make([]frontdoor.Endpoint, len(backends))
	for i, backend := range backends {
		endpoints[i] = toEndpoint(asReady(backend, 0), backendAddress(backend.ID))
	}
	heapBefore := liveHeapBytes()
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
		loop.Update(frontdoor.EndpointList{Version: 1, Full: true, Endpoints: endpoints})
	}, 1)
	c.ProgramStateBytes = float64(liveHeapBytes()) - float64(heapBefore)
	c.ProgramChangeMicros = processorMicros(func() {
		for range measuredChanges / 2 {
			endpoint := endpoints[random.IntN(len(endpoints))]
			for _, state := range []string{"Terminating", "Ready"} {
				endpoint.State = state
				loop.Update(frontdoor.EndpointList{Endpoints: []frontdoor.Endpoint{endpoint}})
			}
		}
	}, measuredChanges)
	runtime.KeepAlive(endpoints)
	return nil
}
