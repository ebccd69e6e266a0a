package frontdoor

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// Limits on discovery's responses. A list is limited by the number and the size of its entries, so that the longest
// planned list is accepted, but an endless list or entry doesn't exhaust the memory.
const (
	maxListBytes   = 4 << 20  // bytes of a list outside its entries, including empty lines before it
	maxEntryBytes  = 64 << 10 // bytes of one entry, including what is read ahead after it
	maxEndpoints   = 150_000  // entries of one list; three times the planned number of backends
	listBufferSize = 16 << 10 // bytes
)

var (
	errTooManyEndpoints  = errors.New("the list has more entries than allowed")
	errListNotObject     = errors.New("the list is not a JSON object")
	errEndpointsNotArray = errors.New(`the list's field "hosts" is not an array`)
)

// listReader reads consecutive lists, one entry at a time. Apart from the parsed entries it holds only a buffer, never
// the text of a full list.
type listReader struct {
	limited *limitedReader
	decoder *json.Decoder
}

func newListReader(response io.Reader) *listReader {
	limited := &limitedReader{source: bufio.NewReaderSize(response, listBufferSize)}
	return &listReader{limited: limited, decoder: json.NewDecoder(limited)}
}

// next reads one list. If it returns an error, the list is empty. An error in an entry names the entry.
func (l *listReader) next() (EndpointList, error) {
	l.limited.remaining = maxListBytes
	list := EndpointList{}
	if token, err := l.decoder.Token(); err != nil {
		return EndpointList{}, err
	} else if token != json.Delim('{') {
		return EndpointList{}, errListNotObject
	}
	for l.decoder.More() {
		name, err := l.decoder.Token()
		if err != nil {
			return EndpointList{}, err
		}
		if err := l.readField(&list, name.(string)); err != nil { // More and Token guarantee that this is a string
			return EndpointList{}, err
		}
	}
	if _, err := l.decoder.Token(); err != nil {
		return EndpointList{}, err
	}
	return list, nil
}

// readField reads the value of one field of a list. Like encoding/json, it ignores the case of field names.
func (l *listReader) readField(list *EndpointList, name string) error {
	switch {
	case strings.EqualFold(name, "seq"):
		return l.decoder.Decode(&list.Version)
	case strings.EqualFold(name, "whole"):
		return l.decoder.Decode(&list.Full)
	case strings.EqualFold(name, "hosts"):
		endpoints, err := l.readEndpoints()
		list.Endpoints = endpoints
		return err
	}
	var unknown json.RawMessage
	return l.decoder.Decode(&unknown)
}

// readEndpoints reads the entries of a list.
func (l *listReader) readEndpoints() ([]Endpoint, error) {
	token, err := l.decoder.Token()
	if err != nil || token == nil { // null: no entries
		return nil, err
	}
	if token != json.Delim('[') {
		return nil, errEndpointsNotArray
	}
	var endpoints []Endpoint
	for l.decoder.More() {
		if len(endpoints) == maxEndpoints {
			return nil, fmt.Errorf("entry %d: %w", len(endpoints)+1, errTooManyEndpoints)
		}
		l.limited.remaining = maxEntryBytes
		var endpoint Endpoint
		if err := l.decoder.Decode(&endpoint); err != nil {
			return nil, fmt.Errorf("entry %d, %.60q: %w", len(endpoints)+1, endpoint.Host, err)
		}
		endpoints = append(endpoints, endpoint)
	}
	l.limited.remaining = maxListBytes
	_, err = l.decoder.Token()
	return endpoints, err
}
