package order

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"errors"
	"fmt"
	"io/fs"

	"golang.org/x/crypto/acme"

	"otterturn/internal/certs/plan"
	"otterturn/internal/certs/vault"
)

// This file is the account at an authority, its key, and what is done by it alone.

// account sees to it that there is one. The key is on disk before the authority hears of it; a process that was killed
// in between left a key without an account, so the authority is asked once for each start.
func (c *Client) account(ctx context.Context, anew bool) error {
	if c.acme.Key != nil && !anew {
		return nil
	}
	key, err := c.vault.Account(c.authority.Name)
	if errors.Is(err, fs.ErrNotExist) || errors.Is(err, vault.ErrDamaged) {
		if key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader); err == nil {
			err = c.vault.SaveAccount(c.authority.Name, key)
		}
	}
	if err != nil {
		return fail(plan.Local, err)
	}
	c.acme.Key, c.acme.KID = key, ""
	if err := c.register(ctx); err != nil {
		c.acme.Key = nil
		return fmt.Errorf("see to an account: %w", err)
	}
	return nil
}

// register finds the account of the key, or makes one.
func (c *Client) register(ctx context.Context) error {
	if _, err := c.acme.GetReg(ctx, ""); !errors.Is(err, acme.ErrNoAccount) {
		return err
	}
	if c.rolled(ctx) {
		return nil
	}
	in := &acme.Account{}
	if c.authority.Email != "" {
		in.Contact = []string{"mailto:" + c.authority.Email}
	}
	if c.authority.BindingID != "" {
		in.ExternalAccountBinding = &acme.ExternalAccountBinding{KID: c.authority.BindingID, Key: c.authority.BindingKey}
	}
	_, err := c.acme.Register(ctx, in, acme.AcceptTOS)
	return err
}

// rolled goes on with the key that a rollover had given the account, where its process was killed before it could
// keep that as the account's.
func (c *Client) rolled(ctx context.Context) bool {
	next, err := c.vault.Account(c.authority.Name + nextKey)
	if err != nil {
		return false
	}
	old := c.acme.Key
	c.acme.Key, c.acme.KID = next, ""
	if _, err := c.acme.GetReg(ctx, ""); err == nil && c.vault.SaveAccount(c.authority.Name, next) == nil {
		return true
	}
	c.acme.Key, c.acme.KID = old, ""
	return false
}

// nextKey is what follows an authority's name in that of the key that its account is to get.
const nextKey = "-next"

// RollKey gives the account a new key. The new one is on disk beside the old one until the authority has taken it.
func (c *Client) RollKey(ctx context.Context) error {
	if err := c.account(ctx, false); err != nil {
		return err
	}
	next, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	rolled := c.authority.Name + nextKey
	if err := c.vault.SaveAccount(rolled, next); err != nil {
		return err
	}
	if err := c.acme.AccountKeyRollover(ctx, next); err != nil {
		return fmt.Errorf("the authority did not take the new key: %w", err)
	}
	c.acme.Key = next
	if err := c.vault.SaveAccount(c.authority.Name, next); err != nil {
		return fmt.Errorf("the new key is taken, and kept as %s alone: %w", rolled, err)
	}
	return nil
}

// Revoke has the authority revoke a certificate.
func (c *Client) Revoke(ctx context.Context, der []byte) error {
	if err := c.account(ctx, false); err != nil {
		return err
	}
	return c.acme.RevokeCert(ctx, nil, der, acme.CRLReasonUnspecified)
}
