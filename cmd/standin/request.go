package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"

	"herontiller/internal/frontdoor"
	"herontiller/internal/gateway"
)

var errNoSafeClass = errors.New("the configuration has no class that is safe to repeat")

// exampleRequest returns a request that a gateway with the configuration admits. It belongs to the first class that is
// safe to repeat and to the first plan.
func exampleRequest(config frontdoor.Config) (*http.Request, error) {
	for _, class := range config.Settings.Classes {
		if class.Effect != gateway.Safe {
			continue
		}
		request, err := http.NewRequest(http.MethodGet, "http://"+config.Listen+"/"+class.Name+"/1", nil)
		if err != nil {
			return nil, err
		}
		request.Header = http.Header{"Request-Id": {"0000000000000001"}, "Request-Class": {class.Name},
			"X-Tier": {config.Settings.Plans[0].Name}, "X-Api-Key": {"00000000000003e9"},
			"Request-Timeout": {fmt.Sprint(class.Deadline.Seconds())}, "X-Call-Terms": {"units=1,spread=1,first=0"}}
		return request, nil
	}
	return nil, errNoSafeClass
}

// curlCommand returns the request as a curl command, in lines indented by four spaces.
func curlCommand(request *http.Request) string {
	var command strings.Builder
	fmt.Fprintf(&command, "    curl -i %s", request.URL)
	for i, name := range []string{"Request-Id", "Request-Class", "X-Tier",
		"X-Api-Key", "Request-Timeout", "X-Call-Terms"} {
		if i%2 == 0 {
			command.WriteString(" \\\n     ")
		}
		fmt.Fprintf(&command, " -H '%s: %s'", name, request.Header.Get(name))
	}
	return command.String()
}
