package main

import (
	"bytes"
	"strings"
	"testing"
)

// bootBatch starts instance 0 and gives it a list of one backend.
const bootBatch = `{"m":"clock","at_time_us":1000}
{"m":"boot","door":0,"random_seed":3,"params":{"balancers":1,"policy_limits":{"max_attempts":2},"lanes":[{"name":"c",` +
	`"effect":"retryable","goal_time_us":1000000,"deadline_us":2000000,"gain":1}],"tariffs":[{"name":"p",` +
	`"units_per_s":5,"burst":5,"value_factor":1}],"unknown":{}}}
{"m":"targets","door":0,"mode":"SAVED","elements":[{"health":"healthy","backend":4}]}
{"m":"eob"}
`

// run must reply to each batch and return without an error at the end of the input.
func TestRunRepliesToEachBatchUntilEOF(t *testing.T) {
	var output bytes.Buffer
	input := bootBatch + `{"m":"clock","at_time_us":2000}
{"m":"call","door":0,"txn":"00000000000000ff","spread":1,"terms":"p","grace_us":1000000,"cost_units":1,"grade":"c","caller":1}
{"m":"eob"}
`
	if err := run(strings.NewReader(input), &output); err != nil {
		t.Fatal(err)
	}
	if got := output.String(); strings.Count(got, `{"m":"eor"}`) != 2 || !strings.Contains(got, `"m":"assign"`) {
		t.Errorf("want 2 replies and an assign action, got\n%s", got)
	}
}

func TestRunRejectsMalformedInput(t *testing.T) {
	for name, input := range map[string]string{
		"not JSON":           "hello\n",
		"event before clock": `{"m":"reminder","door":0,"ref":1}` + "\n",
		"clock in a batch":   `{"m":"clock","at_time_us":1}` + "\n" + `{"m":"clock","at_time_us":2}` + "\n",
		"truncated batch":    `{"m":"clock","at_time_us":1}` + "\n",
		"unknown instance":   `{"m":"clock","at_time_us":1}` + "\n" + `{"m":"reminder","door":7,"ref":1}` + "\n",
		"empty settings":     `{"m":"clock","at_time_us":1}` + "\n" + `{"m":"boot","door":0,"params":{}}` + "\n",
	} {
		if err := run(strings.NewReader(input), &bytes.Buffer{}); err == nil {
			t.Errorf("%s: got no error", name)
		}
	}
	if err := run(strings.NewReader(""), &bytes.Buffer{}); err != nil {
		t.Errorf("empty input: %v", err)
	}
}
