package cataloger

import (
	"encoding/json"
	"slices"

	"github.com/ansel1/merry/v2"
)

// maxHostTextBytes bounds each text of a host entry, so that an odd one does not
// fill a message between processes.
const maxHostTextBytes = 200

// hostRecord is the JSON schema of an entry of the platform's host list.
type hostRecord struct {
	HostSpec
	Version int64 `json:"version"`
}

// EncodeHost returns an entry of the platform's host list as JSON.
func EncodeHost(spec HostSpec, version int64) ([]byte, error) {
	b, err := json.Marshal(hostRecord{HostSpec: spec, Version: version})
	return b, merry.Prepend(err, "encode host")
}

// DecodeHost decodes an entry of the platform's host list. It fails if a field has
// another type, if a name, a role or a state is unknown or too long, or if the
// version is negative.
func DecodeHost(b []byte) (HostSpec, int64, error) {
	var r hostRecord
	if err := json.Unmarshal(b, &r); err != nil {
		return HostSpec{}, 0, merry.Prepend(err, "decode host")
	}
	s := r.HostSpec
	switch {
	case s.Name == "":
		return HostSpec{}, 0, merry.New("decode host: missing name")
	case !slices.Contains([]string{RoleBalancer, RoleAgent}, s.Role):
		return HostSpec{}, 0, merry.New("decode host: unknown role")
	case !slices.Contains([]string{HostLive, HostLeaving, HostRemoved}, s.State):
		return HostSpec{}, 0, merry.New("decode host: unknown state")
	case r.Version < 0:
		return HostSpec{}, 0, merry.New("decode host: negative version")
	}
	for _, text := range []string{s.Name, s.AvailabilityZone, s.ControlAddress, s.TunnelAddress} {
		if len(text) > maxHostTextBytes {
			return HostSpec{}, 0, merry.Errorf("decode host: text of %d bytes", len(text))
		}
	}
	return s, r.Version, nil
}
