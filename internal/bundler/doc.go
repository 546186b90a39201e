// Package bundler defines the bundle, which is the configuration that operators
// change at run time (accounts, budgets and targets), its signed encoding, and the
// lookups that each request needs.
//
// Operators write a bundle in TOML. [Split] encodes it canonically as chunks
// that are addressed by their SHA-256 hash, and [Sign] signs the head that
// lists them. A process verifies the head with [Verify], assembles the chunks
// with [Join] and builds an [Index] once per version.
//
// A bundle never contains the tokens of a budget. Tokens are added by top-ups
// only, so that a bundle change cannot create or destroy tokens.
//
// # Usage
//
//	b, err := bundler.Parse(data)
//	list, chunks, err := bundler.Split(b)
//	head, err := bundler.Sign(bundler.Head{Version: 7, Author: "ann", Chunks: list}, key)
//
//	err = bundler.Verify(head, trust)
//	b, err = bundler.Join(head, bodies)
//	index, err := bundler.NewIndex(b)
//	account, ok := index.AccountByKey(bundler.HashKey(bearer))
package bundler
