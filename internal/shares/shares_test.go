package shares

import "testing"

// Over a customer's gateways the shares add up to the limit, or to one per gateway if the limit is lower. No gateway is
// left without a share for all customers.
func TestSharesAddUp(t *testing.T) {
	for _, gateways := range []int{1, 2, 3, 7, 40} {
		for _, total := range []int{1, 3, 7, 41} {
			received := make([]int, gateways)
			for customer := range uint64(200) {
				sum, holders := 0, 0
				for offset := range gateways {
					position := Position{Gateways: gateways, Offset: offset, Customer: customer}
					sum += position.IntShare(total)
					received[offset] += position.IntShare(total)
					if position.HasShare(total) {
						holders++
					}
				}
				if want := max(total, gateways); total >= gateways && sum != total || total < gateways && sum != want {
					t.Fatalf("%d gateways, customer %d: shares add up to %d of %d", gateways, customer, sum, total)
				}
				if holders != min(total, gateways) {
					t.Fatalf("%d gateways, customer %d: %d gateways hold one of %d shares", gateways, customer,
						holders, total)
				}
			}
			for offset, count := range received {
				if count == 0 {
					t.Errorf("%d gateways: the one at offset %d has no share of %d for any customer", gateways, offset,
						total)
				}
			}
		}
	}
	outside := Position{Gateways: 3, Offset: 3}
	if outside.IntShare(9) != 0 || outside.HasShare(9) {
		t.Error("a gateway that does not serve the customer has a share")
	}
	if count := (Position{Gateways: 200}).BucketShares(72, 8); count != 9 {
		t.Errorf("a bucket of 72 units is split into %d shares of at least 8 units, want 9", count)
	}
	if count := (Position{Gateways: 4}).BucketShares(72, 0); count != 4 {
		t.Errorf("a bucket without a largest request is split into %d shares, want one for each gateway", count)
	}
}
