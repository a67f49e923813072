package outage

import "testing"

// With SRV records an agent hardly loses anything while the list is down and the fleet is replaced; without, nearly all
// once the last server that it knew has gone.
func TestRecordsCarryTheAgent(t *testing.T) {
	rows, err := Compare(50, 4)
	if err != nil {
		t.Fatal(err)
	}
	if with, without := rows[0], rows[1]; with.Worst > 0.05 || without.Mean < 0.1 {
		t.Errorf("lost %v with records (%v at worst), %v without", with.Mean, with.Worst, without.Mean)
	}
}
