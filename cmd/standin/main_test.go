package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"herontiller/internal/frontdoor"
)

const exampleFile = "../../deploy/example.json"

// loadExample loads the example configuration with ports that the system assigns.
func loadExample(t *testing.T) frontdoor.Config {
	t.Helper()
	config, err := frontdoor.LoadConfig(exampleFile)
	if err != nil {
		t.Fatal(err)
	}
	config.Listen, config.Discovery = "127.0.0.1:0", "127.0.0.1:0"
	return config
}

// startGateway runs a gateway with the configuration, as the program does, and returns its address.
func startGateway(t *testing.T, config frontdoor.Config) string {
	t.Helper()
	loop, err := frontdoor.NewLoop(config, frontdoor.NewBackends(config))
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	listed, ended := make(chan struct{}, 16), make(chan error, 1)
	go frontdoor.WatchDiscovery(ctx, config, nil, func(list frontdoor.EndpointList) {
		loop.Update(list)
		select {
		case listed <- struct{}{}:
		default:
		}
	}, loop.DiscoveryChanged)
	go func() { ended <- frontdoor.NewServer(config, loop).Run(ctx, listener) }()
	t.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		loop.Close()
	})
	select {
	case <-listed:
	case <-time.After(20 * time.Second):
		t.Fatal("no list from the stand-in agent within 20 s")
	}
	return listener.Addr().String()
}

func TestGatewayAnswersExampleRequest(t *testing.T) {
	config := loadExample(t)
	env, err := startEnvironment(config.Discovery, 4)
	if err != nil {
		t.Fatal(err)
	}
	defer env.stop()
	config.Discovery = env.agent.Address
	config.Listen = startGateway(t, config)
	request, err := exampleRequest(config)
	if err != nil {
		t.Fatal(err)
	}
	client := http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for id := range 10 {
		request.Header.Set("Request-Id", fmt.Sprintf("%016x", id+1))
		response, err := client.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		if response.StatusCode != http.StatusOK || string(body) != "ok" || err != nil {
			t.Errorf("request %d: %s, %q, %v, want 200 and \"ok\"", id+1, response.Status, body, err)
		}
	}
}

// The commands in the README must be those that standin prints for the example configuration.
func TestREADMEShowsExampleCommands(t *testing.T) {
	text, err := os.ReadFile("../../README.md")
	if err != nil {
		t.Fatal(err)
	}
	config, err := frontdoor.LoadConfig(exampleFile)
	if err != nil {
		t.Fatal(err)
	}
	request, err := exampleRequest(config)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"    bin/standin deploy/example.json\n",
		"    NODE_CONFIG=deploy/example.json bin/herontiller\n",
		"\n" + curlCommand(request) + "\n"} {
		if !strings.Contains(string(text), want) {
			t.Errorf("README.md does not show\n%s", want)
		}
	}
}

func TestRunPrintsCommands(t *testing.T) {
	text, err := os.ReadFile(exampleFile)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	text = bytes.Replace(text, []byte("127.0.0.1:8500"), []byte("127.0.0.1:0"), 1)
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	stop()
	var out bytes.Buffer
	if err := run(ctx, arguments{Config: path, Backends: 2}, &out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"2 backends; discovery at 127.0.0.1:", "NODE_CONFIG=" + path + " bin/herontiller",
		"curl -i http://127.0.0.1:8443/read/1"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("output\n%s\ndoes not contain %q", out.String(), want)
		}
	}
}

func TestStartFailsOnInvalidInput(t *testing.T) {
	inUse, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer inUse.Close()
	for _, test := range []struct {
		name, discovery string
		backends        int
	}{
		{"no backends", "127.0.0.1:0", 0},
		{"too many backends", "127.0.0.1:0", maxBackends + 1},
		{"invalid address", "discovery", 1},
		{"all interfaces", "0.0.0.0:0", 1},
		{"address in use", inUse.Addr().String(), 1},
	} {
		if env, err := startEnvironment(test.discovery, test.backends); err == nil {
			env.stop()
			t.Errorf("%s: the environment started", test.name)
		}
	}
	if err := run(context.Background(), arguments{Config: filepath.Join(t.TempDir(), "none"),
		Backends: 1}, io.Discard); err == nil {
		t.Error("it started without a configuration file")
	}
}
