package validator

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strings"

	"kingcupvalve.example/kingcupvalve/internal/parser"
)

// Descriptions of accepted values, shared by several keys.
const (
	acceptedName     = "1 to 63 lower-case letters, digits, hyphens and dots, beginning and ending with a letter or digit"
	acceptedHostName = "a DNS host name without port, such as cutlist.example"
	acceptedAddress  = "a unicast IP address and a port from 1 to 65535, such as 192.0.2.1:443 or [2001:db8::1]:443"
	acceptedURL      = "a URL with scheme http or https and a host, without user, query and fragment"
)

var (
	namePattern     = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)
	hostNamePattern = regexp.MustCompile(`^([A-Za-z0-9]([A-Za-z0-9-]{0,61}[A-Za-z0-9])?\.)*[A-Za-z0-9]([A-Za-z0-9-]{0,61}[A-Za-z0-9])?$`)
)

// maxHostName is the maximum length of a DNS name in text form, in bytes
// (RFC 1035, section 2.3.4).
const maxHostName = 253

// report collects problems.
type report struct {
	problems []Problem
}

func (r *report) add(key, fault, value, accepted string) {
	r.problems = append(r.problems, parser.NewProblem(key, fault, value, accepted))
}

// badValue reports a value as bad, or as missing if it is empty.
func (r *report) badValue(key, value, accepted string) {
	fault := parser.FaultBadValue
	if value == "" {
		fault = parser.FaultMissing
	}
	r.add(key, fault, value, accepted)
}

func (r *report) checkName(key, value string) bool {
	if !namePattern.MatchString(value) {
		r.badValue(key, value, acceptedName)
		return false
	}
	return true
}

func (r *report) checkHostName(key, value string) bool {
	if len(value) > maxHostName || !hostNamePattern.MatchString(value) {
		r.badValue(key, value, acceptedHostName)
		return false
	}
	return true
}

// checkAddress accepts only the canonical form of an address, so that equal
// addresses are equal strings.
func (r *report) checkAddress(key, value string) (netip.AddrPort, bool) {
	address, err := netip.ParseAddrPort(value)
	ip := address.Addr()
	switch {
	case err != nil, address.Port() == 0, ip.IsUnspecified(), ip.IsMulticast(), ip.Zone() != "", ip.Is4In6(),
		ip == netip.AddrFrom4([4]byte{255, 255, 255, 255}):
		r.badValue(key, value, acceptedAddress)
		return netip.AddrPort{}, false
	case address.String() != value:
		r.badValue(key, value, "the canonical form "+address.String())
		return netip.AddrPort{}, false
	}
	return address, true
}

func (r *report) checkURL(key, value string) {
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Hostname() == "" ||
		u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		r.badValue(key, redactURL(u, value), acceptedURL)
	}
}

// redactURL returns value without a password that the URL may contain. A value
// that isn't a URL is hidden completely if it might contain one.
func redactURL(u *url.URL, value string) string {
	if u != nil && u.User != nil {
		return u.Redacted()
	}
	if strings.Contains(value, "@") {
		return "(hidden)"
	}
	return value
}

func (r *report) checkOneOf(key, value string, accepted []string) bool {
	if slices.Contains(accepted, value) {
		return true
	}
	r.badValue(key, value, parser.SuggestName(value, accepted))
	return false
}

func (r *report) checkRange(key string, value, smallest, largest int64) bool {
	if value < smallest || value > largest {
		r.add(key, parser.FaultBadValue, fmt.Sprint(value), rangeText(smallest, largest))
		return false
	}
	return true
}

func rangeText(smallest, largest int64) string {
	return fmt.Sprintf("a whole number from %d to %d", smallest, largest)
}

// firstUse maps a value to the key that used it first.
type firstUse[T comparable] map[T]string

// check records a value, or reports it as a duplicate and returns false if
// another key uses it already.
func (f firstUse[T]) check(r *report, value T, key, accepted string) bool {
	if first, ok := f[value]; ok {
		r.add(key, parser.FaultDuplicate, fmt.Sprint(value), fmt.Sprintf("%s; already used by %s", accepted, first))
		return false
	}
	f[value] = key
	return true
}
