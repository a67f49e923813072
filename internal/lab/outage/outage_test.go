package outage

import "testing"

// With SRV records, an agent loses hardly any value while the list service is down and all servers are replaced. Without them,
// it loses nearly all once the last server that it knows has been replaced.
func TestSRVRecordsLimitTheLossDuringAListOutage(t *testing.T) {
	rows, err := Compare(50, 4)
	if err != nil {
		t.Fatal(err)
	}
	if with, without := rows[0], rows[1]; with.Worst > 0.05 || without.Mean < 0.1 {
		t.Errorf("lost share: %v with records (worst seed %v), %v without", with.Mean, with.Worst, without.Mean)
	}
}
