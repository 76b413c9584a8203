package lease

import "testing"

// wantGrant checks whether the voter grants the request.
func wantGrant(t *testing.T, response Response, want bool, why string) {
	t.Helper()
	if response.Granted != want {
		t.Fatalf("granted: %v, want %v: %s", response.Granted, want, why)
	}
}

// A grant must be on disk before its response leaves, also where an earlier
// write of it is pending.
func TestGrantIsDurableBeforeResponse(t *testing.T) {
	v := NewVoter("v", lease, nil, 0, true, 0)
	request := newRequest(1, "a", 1, 0)
	response, write := v.HandleRequest(request, lease)
	if !response.Granted || write == 0 {
		t.Fatal("a grant is answered before it is on disk")
	}
	if _, again := v.HandleRequest(request, lease); again == 0 {
		t.Fatal("a renewal is answered while the grant is not on disk")
	}
	v.MarkDurable(write - 1)
	if _, again := v.HandleRequest(request, lease); again == 0 {
		t.Fatal("an earlier write counts for a later one")
	}
	v.MarkDurable(write)
	if response, again := v.HandleRequest(request, lease); !response.Granted || again != 0 {
		t.Fatal("a renewal needs the disk")
	}
}

// A restarted voter has the records, but not the times of expiry.
func TestRestartedVoter(t *testing.T) {
	v := NewVoter("v", lease, nil, 0, true, 0)
	v.HandleRequest(newRequest(1, "a", 1, 0), lease)
	records, _ := v.Records()
	v = NewVoter("v", lease, records, 0, true, 0)
	response, _ := v.HandleRequest(newRequest(2, "b", 1, 0), lease-1)
	wantGrant(t, response, false, "a voter that just started grants another holder")
	response, _ = v.HandleRequest(newRequest(2, "a", 2, 0), lease-1)
	wantGrant(t, response, true, "the holder's next incarnation need not wait")
	response, _ = v.HandleRequest(newRequest(3, "a", 1, 0), lease-1)
	wantGrant(t, response, false, "an earlier incarnation gets an epoch")
	response, _ = v.HandleRequest(newRequest(3, "b", 1, 0), 2*lease)
	wantGrant(t, response, true, "the lease has expired")
	response, _ = v.HandleRequest(newRequest(3, "c", 1, 0), 9*lease)
	wantGrant(t, response, false, "an epoch is granted twice")
}

func TestChangeOfVoters(t *testing.T) {
	v := NewVoter("v", lease, nil, 0, true, 0)
	v.HandleRequest(newRequest(7, "a", 1, 0), lease)
	v.SetReconfigurationPending(true)
	response, _ := v.HandleRequest(newRequest(7, "a", 1, 0), lease)
	wantGrant(t, response, false, "renewed while other voters may be in force")
	v.SetReconfigurationPending(false)
	v.SetVoters(3, true, true, lease)
	response, _ = v.HandleRequest(newRequest(8, "a", 1, 0), lease)
	wantGrant(t, response, false, "a request to earlier voters")
	if response.VotersSlot != 3 {
		t.Fatalf("the response names voters slot %d, want 3", response.VotersSlot)
	}
	response, _ = v.HandleRequest(newRequest(8, "a", 1, 3), lease)
	wantGrant(t, response, false, "an epoch of earlier voters")
	response, _ = v.HandleRequest(newRequest(firstEpoch(3), "b", 1, 3), lease)
	wantGrant(t, response, false, "the lease of another holder outlives the earlier voters")
	response, _ = v.HandleRequest(newRequest(firstEpoch(3), "a", 1, 3), lease)
	wantGrant(t, response, true, "the holder gets an epoch of the new voters")
}

// A new voter, and one that may have been none in between, grant nothing for a
// lease duration.
func TestNewVoterWaits(t *testing.T) {
	for name, wasVoter := range map[string]bool{"new voter": false, "voter that missed a set": true} {
		t.Run(name, func(t *testing.T) {
			v := NewVoter("w", lease, nil, 2, wasVoter, 0)
			v.SetVoters(5, true, false, 4*lease)
			response, _ := v.HandleRequest(newRequest(firstEpoch(5), "a", 1, 5), 5*lease-1)
			wantGrant(t, response, false, "it grants at once")
			response, _ = v.HandleRequest(newRequest(firstEpoch(5), "a", 1, 5), 5*lease)
			wantGrant(t, response, true, "it waited for a lease duration")
		})
	}
}
