package conf

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// Caller is an organisation's client: the hash of its token, its class and the targets it may address.
type Caller struct {
	Name      string   `json:"name"`
	TokenHash string   `json:"hash"`
	Class     string   `json:"class"`
	Targets   []string `json:"targets"`
}

// HashToken returns the lower-case hexadecimal SHA-256 of a token, the form of Caller.TokenHash.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Allows reports whether the caller may address the target.
func (c *Caller) Allows(target string) bool {
	for _, name := range c.Targets {
		if name == target {
			return true
		}
	}
	return false
}

func (c *checker) checkCallers(d *Document) {
	c.names = map[string]bool{}
	hashes := map[string]bool{}
	for i, caller := range d.Callers {
		path := fmt.Sprintf("/callers/%d", i)
		c.checkUniqueName(path, caller.Name)
		if hashes[caller.TokenHash] {
			c.addFault(path+"/hash", "is used twice")
		}
		hashes[caller.TokenHash] = true
		if d.Class(caller.Class) == nil {
			c.addFault(path+"/class", "there is no class %q", caller.Class)
		}
		for j, name := range caller.Targets {
			if d.Target(name) == nil {
				c.addFault(fmt.Sprintf("%s/targets/%d", path, j), "there is no target %q", name)
			}
		}
	}
}
