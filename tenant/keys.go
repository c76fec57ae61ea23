// Package tenant decides which tenant a caller's key belongs to, and whether the contract that says
// so is recent enough to rely on.
package tenant

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/pkg/errors"

	glade "indigoglade"
)

// Keys is the index of the keys in one version of the contract. It is read-only.
type Keys struct {
	required bool
	// tenants is indexed by digests, so that the time of a lookup tells nothing about how much of a key
	// is right.
	tenants map[digest]glade.Tenant
}

type digest [sha256.Size]byte

// NewKeys returns the index of the valid keys, and the errors of Check.
func NewKeys(rules []glade.TenantRule) (*Keys, []error) {
	valid, errs := Check(rules)
	k := &Keys{required: len(rules) > 0, tenants: make(map[digest]glade.Tenant)}
	for _, rule := range valid {
		for _, key := range rule.Keys {
			k.tenants[sha256.Sum256([]byte(key))] = rule.Tenant
		}
	}
	return k, errs
}

// Required reports whether calls to queues that are not public need a key. A contract whose tenants are
// all invalid still requires keys.
func (k *Keys) Required() bool { return k.required }

// Len returns the number of valid keys.
func (k *Keys) Len() int { return len(k.tenants) }

// Tenant returns the tenant of a key, and false if the key is not valid.
func (k *Keys) Tenant(key string) (glade.Tenant, bool) {
	t, ok := k.tenants[sha256.Sum256([]byte(key))]
	return t, ok
}

// fingerprintBytes of a digest tell the keys of a contract apart and don't help to guess one.
const fingerprintBytes = 4

// Fingerprint returns a short name of a key for the log, which must not hold keys.
func Fingerprint(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:fingerprintBytes])
}

// Check returns the valid tenants with their valid keys, and an error that names the tenant for each
// fault. Tenants with a fault in their name, weight or limit are left out. A tenant without a valid key
// remains, because its limit and weight still apply to the batches that were accepted.
func Check(rules []glade.TenantRule) ([]glade.TenantRule, []error) {
	names := make(map[glade.Tenant]int, len(rules))
	holders := make(map[string]int, len(rules)) // index of the first tenant with the key, or shared
	for i, rule := range rules {
		names[rule.Tenant]++
		for _, key := range rule.Keys {
			if first, ok := holders[key]; !ok {
				holders[key] = i
			} else if first != i {
				holders[key] = shared
			}
		}
	}
	var valid []glade.TenantRule
	var errs []error
	for i, rule := range rules {
		if err := checkRule(rule, names[rule.Tenant]); err != nil {
			errs = append(errs, errors.Wrapf(err, "tenant %q (number %d) is left out", rule.Tenant, i+1))
			continue
		}
		var keyErrs []error
		rule.Keys, keyErrs = usableKeys(rule.Keys, holders)
		for _, err := range keyErrs {
			errs = append(errs, errors.Wrapf(err, "tenant %q", rule.Tenant))
		}
		valid = append(valid, rule)
	}
	return valid, errs
}

// shared marks a key that several tenants hold. It identifies none of them.
const shared = -1

func checkRule(rule glade.TenantRule, entries int) error {
	l := rule.Limit
	switch {
	case rule.Tenant == "":
		return errors.New("it has no name")
	case entries > 1:
		return errors.Errorf("%d tenants have this name", entries)
	case rule.Weight < 0:
		return errors.Errorf("its weight is %v", rule.Weight)
	case l.CPU < 0 || l.Memory < 0 || l.Accels < 0:
		return errors.Errorf("its limit is %d thousandths of a core, %d MB and %d accelerators", l.CPU, l.Memory, l.Accels)
	}
	return nil
}

// usableKeys returns the keys that identify the tenant, each once. Errors name a key by its fingerprint.
func usableKeys(keys []string, holders map[string]int) ([]string, []error) {
	var usable []string
	var errs []error
	listed := make(map[string]bool, len(keys))
	for _, key := range keys {
		switch {
		case key == "":
			errs = append(errs, errors.New("a key is empty"))
		case holders[key] == shared:
			errs = append(errs, errors.Errorf("key %s belongs to several tenants and is valid for none", Fingerprint(key)))
		case listed[key]:
			errs = append(errs, errors.Errorf("key %s is listed twice", Fingerprint(key)))
		default:
			listed[key] = true
			usable = append(usable, key)
		}
	}
	if len(usable) == 0 {
		errs = append(errs, errors.New("it has no valid key, so that none of its calls is admitted"))
	}
	return usable, errs
}
