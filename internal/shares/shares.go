// Package shares splits a customer's limits between the gateways that serve the customer, so that the shares add up to
// the limit without any communication between the gateways.
package shares

import "math"

// Position is the position of a gateway among the gateways that serve a customer: a run of consecutive gateways of the
// fleet.
type Position struct {
	Gateways int    // number of gateways that serve the customer, at least 1
	Offset   int    // index of this gateway among them, from 0; Gateways or more if it does not serve the customer
	Customer uint64 // the customer's number
}

// remainderRank is the gateway's rank, from 0, for the remainder of a limit that does not divide evenly. The ranks are
// rotated by the customer's number, so that no gateway is left without a share for all customers.
func (p Position) remainderRank() int {
	return (p.Offset + int(p.Customer%uint64(p.Gateways))) % p.Gateways
}

// HasShare reports whether this gateway has one of the given number of shares, of which each gateway has one at most.
func (p Position) HasShare(shares int) bool {
	return p.Offset < p.Gateways && p.remainderRank() < shares
}

// BucketShares returns the number of shares into which a token bucket of the given size is split: one for each gateway,
// or, if such a share could never hold the largest request, as many as can hold it, but at least 1. The largest request
// is in the same unit as the size; if it is 0 or less, each gateway has a share.
func (p Position) BucketShares(size, largestRequest float64) int {
	if largestRequest <= 0 {
		return p.Gateways
	}
	return int(max(1, min(float64(p.Gateways), math.Floor(size/largestRequest))))
}

// IntShare returns this gateway's share of a limit that is a whole number. The remainder of an uneven division goes,
// one each, to some of the gateways. If the limit is below the number of gateways, even if it is 0, the share of each
// is 1; it must use that for total/Gateways of the time only, so that on average the shares add up to the limit. The
// share is 0 if the gateway does not serve the customer.
func (p Position) IntShare(total int) int {
	switch {
	case p.Offset >= p.Gateways:
		return 0
	case total < p.Gateways:
		return 1
	case p.remainderRank() < total%p.Gateways:
		return total/p.Gateways + 1
	}
	return total / p.Gateways
}
