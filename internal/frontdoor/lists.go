package frontdoor

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// Bounds on discovery's responses. A list is bounded by the number and the length of its entries, so that the longest
// planned list passes, and an endless list or entry does not exhaust the memory.
const (
	maxListBytes   = 4 << 20  // bytes of a list besides its entries, empty lines before it among them
	maxEntryBytes  = 64 << 10 // bytes of one entry, with what is read ahead behind it
	maxHosts       = 150_000  // entries of one list: three times the fleet that is planned for
	listBufferSize = 16 << 10 // bytes read at once
)

var (
	errTooManyHosts = errors.New("the list has more entries than lists may have")
	errNoObject     = errors.New("a list is no JSON object")
	errNoHosts      = errors.New("a list's hosts are no array")
)

// listReader reads consecutive lists, entry by entry: besides the entries read it holds a buffer, never the text of
// a whole list.
type listReader struct {
	body    *limitedReader
	decoder *json.Decoder
}

func newListReader(answer io.Reader) *listReader {
	body := &limitedReader{r: bufio.NewReaderSize(answer, listBufferSize)}
	return &listReader{body: body, decoder: json.NewDecoder(body)}
}

// next reads one list. On an error, which names the entry, nothing of the list is returned.
func (l *listReader) next() (EndpointList, error) {
	l.body.remaining = maxListBytes
	list := EndpointList{}
	if start, err := l.decoder.Token(); err != nil {
		return EndpointList{}, err
	} else if start != json.Delim('{') {
		return EndpointList{}, errNoObject
	}
	for l.decoder.More() {
		name, err := l.decoder.Token()
		if err != nil {
			return EndpointList{}, err
		}
		if err := l.field(&list, name.(string)); err != nil { // More and Token guarantee that this is a name
			return EndpointList{}, err
		}
	}
	if _, err := l.decoder.Token(); err != nil {
		return EndpointList{}, err
	}
	return list, nil
}

// field reads the value of one of a list's fields. Names are matched as encoding/json matches them.
func (l *listReader) field(list *EndpointList, name string) error {
	switch {
	case strings.EqualFold(name, "seq"):
		return l.decoder.Decode(&list.Seq)
	case strings.EqualFold(name, "whole"):
		return l.decoder.Decode(&list.Whole)
	case strings.EqualFold(name, "hosts"):
		hosts, err := l.hosts()
		list.Hosts = hosts
		return err
	}
	var unknown json.RawMessage
	return l.decoder.Decode(&unknown)
}

// hosts reads the entries of a list.
func (l *listReader) hosts() ([]Endpoint, error) {
	start, err := l.decoder.Token()
	if err != nil || start == nil { // null: no entries
		return nil, err
	}
	if start != json.Delim('[') {
		return nil, errNoHosts
	}
	var hosts []Endpoint
	for l.decoder.More() {
		if len(hosts) == maxHosts {
			return nil, fmt.Errorf("entry %d: %w", len(hosts)+1, errTooManyHosts)
		}
		l.body.remaining = maxEntryBytes
		var host Endpoint
		if err := l.decoder.Decode(&host); err != nil {
			return nil, fmt.Errorf("entry %d, %.60q: %w", len(hosts)+1, host.Host, err)
		}
		hosts = append(hosts, host)
	}
	l.body.remaining = maxListBytes
	_, err = l.decoder.Token()
	return hosts, err
}
