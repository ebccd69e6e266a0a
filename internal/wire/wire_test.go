package wire

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"herontiller/internal/gateway"
)

func TestDecodeEvents(t *testing.T) {
	for line, want := range map[string]Message{
		`{"m":"clock","at_time_us":8412250}`: {BatchStart: true, BatchTime: 8412250 * time.Microsecond},
		`{"m":"eob"}`:                        {BatchEnd: true},
		`{"m":"detach","door":2}`:            {Instance: 2, InstanceStop: true},
		`{"m":"call","door":3,"txn":"d4b7b4c55d3a91c4","opts":1,"spread":3,"terms":"kis","grace_us":240000,` +
			`"cost_units":2,"first_door":1,"grade":"c","caller":7,"new":[1]}`: {Instance: 3, Event: gateway.Request{
			ID: 0xd4b7b4c55d3a91c4, Customer: 7, Class: "c", Plan: "kis", Units: 2, Timeout: 240 * time.Millisecond,
			FirstGateway: 1, GatewayCount: 3}},
		`{"m":"reminder","door":3,"ref":77}`: {Instance: 3, Event: gateway.Timer{Token: 77}},
		`{"m":"client_left","door":5,"txn":"00000000000000ff"}`: {Instance: 5,
			Event: gateway.ClientGone{Request: 255}},
		`{"m":"established","door":5,"txn":"00000000000000ff","backend":1,"try":2}`: {Instance: 5,
			Event: gateway.AnswerStarted{Request: 255, Attempt: 2}},
		`{"m":"tally_back","door":1,"counter_key":5,"rc":"delivered"}`: {Instance: 1},
		`{"m":"something_new","door":1}`:                               {Instance: 1},
	} {
		got, err := Decode([]byte(line))
		if err != nil || got != want {
			t.Errorf("%s\n got %+v (%v)\nwant %+v", line, got, err, want)
		}
	}
}

func TestDecodeOutcome(t *testing.T) {
	message, err := Decode([]byte(
		`{"m":"closed_attempt","door":3,"txn":"d4b7b4c55d3a91c4","duration_us":18500,"try":1,` +
			`"seen_use":87,"backend":51530247,"rc":"delivered","last":true,"settled":3,"health_info":[0.62,140]}`))
	outcome, ok := message.Event.(gateway.Outcome)
	if err != nil || !ok || outcome.Result != gateway.Answered || !outcome.HasUsage || outcome.UsagePercent != 86 ||
		!outcome.Final || outcome.Attempt != 1 || len(outcome.Load) != 2 || outcome.Backend != 51530247 ||
		outcome.Duration != 18500*time.Microsecond {
		t.Errorf("got %+v, %v", message, err)
	}
	message, err = Decode([]byte(`{"m":"closed_attempt","door":3,"txn":"d4b7b4c55d3a91c4","backend":1,"rc":"odd"}`))
	if outcome := message.Event.(gateway.Outcome); err != nil || outcome.Result != gateway.Unknown || outcome.HasUsage {
		t.Errorf("unknown result code: got %+v, %v", outcome, err)
	}
}

func TestDecodeList(t *testing.T) {
	message, err := Decode([]byte(`{"m":"targets","door":3,"mode":"SAVED","elements":[{"health":"healthy","az":"a",` +
		`"cell":4,"backend":5,"boot_time_us":6},{"health":"deregistered","backend":6}]}`))
	list, ok := message.Event.(gateway.BackendList)
	if err != nil || !ok || list.Kind != gateway.ListSaved || len(list.Backends) != 2 ||
		list.Backends[1].State != gateway.Gone ||
		list.Backends[0] != (gateway.BackendInfo{ID: 5, Zone: "a", Cell: 4, Started: 6 * time.Microsecond}) {
		t.Errorf("got %+v, %v", message, err)
	}
}

func TestDecodeRejectsMalformedLines(t *testing.T) {
	for _, line := range []string{
		`{`, `[]`, `{}`, `{"m":""}`, `{"m":"clock"}`, `{"m":"reminder","door":1}`, `{"m":"call","txn":"1"}`,
		`{"m":"call","door":1,"txn":"12"}`, `{"m":"call","door":1,"txn":"D4B7B4C55D3A91C4"}`,
		`{"m":"call","door":1,"txn":"zzzzzzzzzzzzzzzz"}`, `{"m":"closed_attempt","door":1,"txn":"00000000000000ff"}`,
		`{"m":"targets","door":1,"mode":"?"}`, `{"m":"boot","door":1}`, `{"m":"boot","door":1,"params":3}`,
		`{"m":"targets","door":1,"mode":"FULL","elements":[{"backend":1,"health":"?"}]}`,
		`{"m":"targets","door":1,"mode":"FULL","elements":[{"health":"healthy"}]}`, `{"m":"sampled","door":1}`,
		`{"m":"boot","door":1,"params":{"lanes":[{"effect":"?"}]}}`, `{"m":"reminder","door":1,"ref":-1}`,
	} {
		if message, err := Decode([]byte(line)); err == nil {
			t.Errorf("%s: got %+v, want an error", line, message)
		}
	}
}

func TestAppendActionsAndReplyEnd(t *testing.T) {
	var buffer bytes.Buffer
	for _, action := range []gateway.Action{
		gateway.Send{Request: 255, Backend: 9, Timeout: time.Millisecond},
		gateway.Reject{Request: 1, RetryAfter: time.Second}, gateway.Fail{Request: 2},
		gateway.Cancel{Request: 3, Attempt: 1}, gateway.SetTimer{After: 100 * time.Hour, Token: 4},
		gateway.Probe{Backend: 5}, gateway.Subscribe{},
	} {
		AppendAction(&buffer, 6, action)
	}
	AppendReplyEnd(&buffer)
	want := `{"m":"assign","door":6,"txn":"00000000000000ff","max_wait_us":1000,"backend":9}
{"m":"reject","door":6,"txn":"0000000000000001","not_before_for_us":1000000}
{"m":"surrender","door":6,"txn":"0000000000000002"}
{"m":"recall","door":6,"txn":"0000000000000003","try":1}
{"m":"timer","door":6,"from_now_us":4260000000,"ref":4}
{"m":"poll","door":6,"backend":5}
{"m":"follow","door":6,"want":true}
{"m":"eor"}
`
	if buffer.String() != want {
		t.Errorf("got\n%s", buffer.String())
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(`{"m":"call","door":1,"txn":"00000000000000ff","grace_us":1}`)
	f.Add(`{"m":"boot","door":0,"random_seed":1,"params":{"balancers":2,"lanes":[{"name":"a"}]}}`)
	f.Add(`{"m":"targets","door":1,"mode":"FULL","elements":[{"backend":1,"health":"healthy"}]}`)
	f.Add(`{"m":"closed_attempt","door":1,"txn":"00000000000000ff","backend":1,"health_info":[1]}`)
	f.Fuzz(func(t *testing.T, line string) {
		message, err := Decode([]byte(line))
		if err != nil && strings.TrimSpace(err.Error()) == "" {
			t.Error("error with an empty message")
		}
		if err == nil && message.InstanceStart != nil {
			// New may return an error but must not panic.
			_, _ = gateway.New(message.InstanceStart.Settings, message.InstanceStart.Seed, 0)
		}
	})
}
