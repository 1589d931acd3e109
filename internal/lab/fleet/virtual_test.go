package fleet

import "testing"

func TestCasesInVirtualTime(t *testing.T) {
	for _, c := range Cases {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= 5; seed++ {
				if err := c.Play(NewVirtual(c.Nodes, seed)); err != nil {
					t.Errorf("seed %d: %v", seed, err)
				}
			}
		})
	}
}
