package bundler

import (
	"crypto/ed25519"
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

const sample = `
regions = ["tallinn", "tartu"]

[[budgets]]
name = "care"
ahead = 0.5
[[budgets]]
name = "parts"

[[targets]]
name = "runner-1"
kind = "model"
model = "repair-8b"
adapters = ["estonian"]
repeat = ["*"]
context = 8192
output = { default = 512, limit = 2048 }
[[targets]]
name = "booking"
kind = "service"
repeat = ["GET"]
price = 20

[[accounts]]
name = "clinic"
keys = ["2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683"]
home = "tartu"
worth = 2.5
rate = 10
inflight = 4
targets = ["runner-1", "booking"]
[[accounts.budgets]]
budget = "parts"
targets = ["booking"]
[[accounts.budgets]]
budget = "care"
targets = ["*"]
`

func parseSample(t testing.TB) Bundle {
	t.Helper()
	b, err := Parse([]byte(sample))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// Guards against lookups that match a key to the wrong account or charge the
// wrong budget, for example when a later payment also matches the target.
func TestIndex(t *testing.T) {
	x, err := NewIndex(parseSample(t))
	if err != nil {
		t.Fatal(err)
	}
	a, ok := x.AccountByKey(HashKey("key"))
	if !ok || a.Name != "clinic" {
		t.Fatalf("account = %v, %v", a, ok)
	}
	if _, ok := x.AccountByKey(HashKey("other")); ok {
		t.Error("unknown key has an account")
	}
	for _, tt := range []struct{ target, want string }{{"booking", "parts"}, {"runner-1", "care"}} {
		if b, ok := x.BudgetFor(a, tt.target); !ok || b.Name != tt.want {
			t.Errorf("budget for %s = %v, %v, want %s", tt.target, b, ok, tt.want)
		}
	}
	if _, ok := x.BudgetFor(Account{Budgets: []Payment{{"care", []string{"booking"}}}}, "runner-1"); ok {
		t.Error("a budget pays for a target that it does not list")
	}
	booking, _ := x.Target("booking")
	if booking.Retryable("POST") || !booking.Retryable("GET") || !a.MayUse("booking") || (Account{}).MayUse("booking") {
		t.Error("wrong methods for retries or wrong targets for the account")
	}
	if m := x.TargetsForModel("repair-8b"); len(m) != 1 || !m[0].Serves("estonian") || m[0].Serves("finnish") || booking.Serves("") {
		t.Errorf("targets of the model = %v", m)
	}
}

// Guards against invalid bundles being accepted, and against errors that do not name the field.
func TestCheck(t *testing.T) {
	const key = `"2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683"`
	tests := []struct{ name, old, new, want string }{
		{"unknown field", "rate = 10", "speed = 10", "accounts.speed"},
		{"plain key", key, `"secret"`, "accounts.clinic.keys"},
		{"key used twice", key, key + "," + key, "accounts.clinic.keys"},
		{"unknown home", `home = "tartu"`, `home = "riga"`, "accounts.clinic.home"},
		{"any as home", `home = "tartu"`, `home = "*"`, "accounts.clinic.home"},
		{"unknown budget", `budget = "parts"`, `budget = "party"`, "accounts.clinic.budgets"},
		{"unknown target", `["runner-1", "booking"]`, `["runner-2"]`, "accounts.clinic.targets"},
		{"name used twice", `name = "parts"`, `name = "care"`, "budgets"},
		{"zero worth", "worth = 2.5", "worth = 0.0", "accounts.clinic.worth"},
		{"worth not a number", "worth = 2.5", "worth = nan", "accounts.clinic.worth"},
		{"mark over the allotment", "ahead = 0.5", "ahead = 1.5", "budgets.care.ahead"},
		{"output over context", "limit = 2048", "limit = 9000", "targets.runner-1.output.limit"},
		{"unknown kind", `kind = "service"`, `kind = "shop"`, "targets.booking.kind"},
		{"negative price", "price = 20", "price = -1", "targets.booking.price"},
		{"no regions", `["tallinn", "tartu"]`, "[]", "regions"},
		{"bad name", `name = "runner-1"`, `name = "runner 1"`, "targets"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			text := strings.Replace(sample, tt.old, tt.new, 1)
			if text == sample {
				t.Fatalf("%q is not in the sample", tt.old)
			}
			if _, err := Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), tt.want+": ") {
				t.Errorf("err = %v, want an error for %s", err, tt.want)
			}
		})
	}
}

// largeBundle returns a bundle shaped like the planned production bundle, with the
// given numbers of accounts and budgets.
func largeBundle(accounts, budgets int) Bundle {
	b := Bundle{Regions: []string{"north", "south"}}
	for i := range 10 {
		b.Targets = append(b.Targets, Target{
			Name: fmt.Sprintf("model-%d", i), Kind: KindModel, Model: fmt.Sprintf("m%d", i), RetryMethods: []string{Any},
			Context: 32768, Output: Output{512, 4096},
		})
	}
	for i := range budgets {
		b.Budgets = append(b.Budgets, Budget{Name: fmt.Sprintf("budget-%06d", i)})
	}
	for i := range accounts {
		a := Account{
			Name: fmt.Sprintf("account-%05d", i), Keys: []string{HashKey(fmt.Sprint("key", i))},
			Worth: 1, Rate: 5, Inflight: 16, Targets: []string{Any},
		}
		for j := i; j < budgets; j += accounts {
			a.Budgets = append(a.Budgets, Payment{b.Budgets[j].Name, []string{fmt.Sprintf("model-%d", j%10)}})
		}
		a.Budgets = append(a.Budgets, Payment{b.Budgets[i%budgets].Name, []string{Any}})
		b.Accounts = append(b.Accounts, a)
	}
	return b
}

func bodiesByHash(chunks []Chunk) map[string][]byte {
	m := make(map[string][]byte, len(chunks))
	for _, c := range chunks {
		m[c.Hash] = c.Body
	}
	return m
}

func split(t testing.TB, b Bundle) ([]string, []Chunk) {
	t.Helper()
	list, chunks, err := Split(b)
	if err != nil {
		t.Fatal(err)
	}
	return list, chunks
}

// Guards against an encoding that depends on the order of accounts, loses content,
// or changes most chunks when one account is added or removed.
func TestSplit(t *testing.T) {
	b := largeBundle(2000, 9000)
	list, chunks := split(t, b)
	head := Head{Version: 1, Chunks: list}
	joined, err := Join(head, bodiesByHash(chunks))
	if err != nil {
		t.Fatal(err)
	}
	if changes := Diff(b, joined); len(changes) > 0 {
		t.Errorf("joined bundle differs: %v", changes[0])
	}
	for seed := range uint64(10) {
		r := rand.New(rand.NewPCG(seed, 0))
		shuffled := joined
		shuffled.Accounts = slices.Clone(joined.Accounts)
		r.Shuffle(len(b.Accounts), reflect.Swapper(shuffled.Accounts))
		if again, _ := split(t, shuffled); !slices.Equal(again, list) {
			t.Fatalf("seed %d: chunks depend on the order of accounts", seed)
		}
		i := r.IntN(len(b.Accounts))
		added := shuffled.Accounts[i]
		added.Name, added.Keys = added.Name+"x", nil
		for name, changed := range map[string][]Account{
			"add":    append(slices.Clone(shuffled.Accounts), added),
			"remove": slices.Delete(slices.Clone(shuffled.Accounts), i, i+1),
		} {
			shuffled.Accounts = changed
			_, after := split(t, shuffled)
			if n := countNew(after, chunks); n > 4 {
				t.Errorf("seed %d: %s changes %d of %d chunks", seed, name, n, len(chunks))
			}
		}
	}
}

func countNew(chunks, known []Chunk) int {
	old, n := bodiesByHash(known), 0
	for _, c := range chunks {
		if _, ok := old[c.Hash]; !ok {
			n++
		}
	}
	return n
}

func authorKey(name string) ed25519.PrivateKey {
	seed := make([]byte, ed25519.SeedSize)
	copy(seed, name)
	return ed25519.NewKeyFromSeed(seed)
}

// Guards against accepting a head that is unsigned, signed by another author or
// altered after signing.
func TestVerify(t *testing.T) {
	trust := TrustedKeys{"ann": authorKey("ann").Public().(ed25519.PublicKey), "bob": authorKey("bob").Public().(ed25519.PublicKey)}
	head, err := Sign(Head{Version: 3, Chunks: []string{HashKey("c")}, Author: "ann"}, authorKey("ann"))
	if err != nil {
		t.Fatal(err)
	}
	data, err := EncodeHead(head)
	if err != nil {
		t.Fatal(err)
	}
	if head, err = DecodeHead(data); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name   string
		change func(*Head)
		want   error
	}{
		{"valid", func(*Head) {}, nil},
		{"unsigned", func(h *Head) { h.Signature = nil }, ErrUnsigned},
		{"unknown author", func(h *Head) { h.Author = "eve" }, ErrUntrusted},
		{"another author", func(h *Head) { h.Author = "bob" }, ErrSignature},
		{"higher version", func(h *Head) { h.Version++ }, ErrSignature},
		{"other chunk", func(h *Head) { h.Chunks = []string{HashKey("d")} }, ErrSignature},
		{"other note", func(h *Head) { h.Note = "x" }, ErrSignature},
		{"short signature", func(h *Head) { h.Signature = h.Signature[:9] }, ErrSignature},
	}
	for _, tt := range tests {
		h := head
		h.Signature = slices.Clone(head.Signature)
		tt.change(&h)
		if err := Verify(h, trust); !errors.Is(err, tt.want) {
			t.Errorf("%s: err = %v, want %v", tt.name, err, tt.want)
		}
	}
}

// Guards against merging a chunk of which one byte was altered.
func TestTamperedChunk(t *testing.T) {
	list, chunks := split(t, parseSample(t))
	rapid.Check(t, func(t *rapid.T) {
		m := bodiesByHash(chunks)
		c := rapid.SampledFrom(chunks).Draw(t, "chunk")
		body := slices.Clone(c.Body)
		body[rapid.IntRange(0, len(body)-1).Draw(t, "byte")] ^= rapid.ByteRange(1, 255).Draw(t, "mask")
		m[c.Hash] = body
		if _, err := Join(Head{Version: 1, Chunks: list}, m); !errors.Is(err, ErrChunk) {
			t.Fatalf("err = %v, want ErrChunk", err)
		}
	})
}

// Guards against a diff that omits a change, or that reports reordered lists as
// changed.
func TestDiff(t *testing.T) {
	before, after := parseSample(t), parseSample(t)
	after.Accounts[0].Worth, after.Accounts[0].Home = 3, ""
	after.Targets = slices.Delete(after.Targets, 0, 1)
	after.Regions = append(after.Regions, "parnu")
	slices.Reverse(after.Budgets)
	var got []string
	for _, c := range Diff(before, after) {
		got = append(got, c.String())
	}
	want := []string{"+ region parnu", "- target runner-1", `~ account clinic: home "tartu" -> (none), worth 2.5 -> 3`}
	if !slices.Equal(got, want) {
		t.Errorf("diff = %q, want %q", got, want)
	}
}

// Guards against input that makes the decoder panic, and against accepted heads
// that cannot be encoded and decoded again.
func FuzzDecodeHead(f *testing.F) {
	f.Add([]byte(`{"version":1,"chunks":["` + HashKey("c") + `"],"author":"ann","time":"2026-01-02T03:04:05Z"}`))
	f.Add([]byte(`{"version":0}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		h, err := DecodeHead(data)
		if err != nil {
			return
		}
		again, err := EncodeHead(h)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodeHead(again); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against chunks that make the decoder panic, and against bundles that
// differ after a round trip through Split and Join.
func FuzzDecodeChunk(f *testing.F) {
	_, chunks := split(f, parseSample(f))
	for _, c := range chunks {
		f.Add(c.Body)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		v, err := decodeChunk(hash(data), data)
		if err != nil || v.Bundle.Check() != nil {
			return
		}
		list, chunks := split(t, v.Bundle)
		again, err := Join(Head{Version: 1, Chunks: list}, bodiesByHash(chunks))
		if err != nil {
			t.Fatal(err)
		}
		if changes := Diff(v.Bundle, again); len(changes) > 0 {
			t.Fatal(changes)
		}
	})
}

// Guards against input that makes the bundle parser panic.
func FuzzParse(f *testing.F) {
	f.Add([]byte(sample))
	f.Add([]byte("regions = [\"a\"]\n[[accounts]]\nname = 1"))
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = Parse(data) })
}
