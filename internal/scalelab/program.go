package scalelab

import (
	"math/rand/v2"
	"runtime"
	"time"

	"herontiller/internal/frontdoor"
)

// lastTimer is how long a closed loop's last timer may still wait.
const lastTimer = 1100 * time.Millisecond

// measureProgram measures what the real program spends around the decision module: the configuration file read, the
// list and its changes taken in by the loop that owns the module. Nothing is sent on sockets.
func (c *Cost) measureProgram(backends []BackendInfo, settings Settings, random *rand.Rand) error {
	var config frontdoor.Config
	var err error
	c.SettingsMicros = micros(func() { config, err = realConfig(settings, "127.0.0.1:1") }, 1)
	if err != nil {
		return err
	}
	hosts := make([]frontdoor.Endpoint, len(backends))
	for i, backend := range backends {
		hosts[i] = endpoint(ready(backend, 0), backendAddress(backend.ID))
	}
	before := heapInUse()
	loop, err := frontdoor.NewLoop(config, frontdoor.NewBackends(config))
	if err != nil {
		return err
	}
	defer func() {
		loop.Close()
		time.Sleep(lastTimer) // until then its timer holds the loop, and what is measured next would begin with its memory
	}()
	c.ProgramListMicros = micros(func() {
		loop.Update(frontdoor.EndpointList{Version: 1, Full: true, Endpoints: hosts})
	}, 1)
	c.ProgramStateBytes = float64(heapInUse()) - float64(before)
	c.ProgramChangeMicros = micros(func() {
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
