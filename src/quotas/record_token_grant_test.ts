import test from "ava";
import { addHeldTokens } from "./add_held_tokens.ts";
import { createHolderState } from "./create_holder_state.ts";
import { QuotaRole } from "./quota_role.ts";
import { recordTokenGrant } from "./record_token_grant.ts";
import { tokenLifetimeMilliseconds } from "./token_lifetime_milliseconds.ts";
import { tryTakeToken } from "./try_take_token.ts";

function createGrant(tokens: number) {
  return { role: QuotaRole.Owner, tokens, retryMilliseconds: 0 };
}

// Guards against tokens that are used in later windows than they were granted
// for, after a late reply or a suspension of the VM.
test("tokens expire a lifetime after their request, however late the reply", (t) => {
  const holder = createHolderState(0);
  const sentAt = 1_000;
  const endsAt = sentAt + tokenLifetimeMilliseconds;
  recordTokenGrant(holder, createGrant(2), { sentAt, now: endsAt - 1 });
  t.truthy(tryTakeToken(holder, endsAt - 1));
  t.is(tryTakeToken(holder, endsAt), undefined);
  recordTokenGrant(holder, createGrant(1), { sentAt, now: endsAt });
  t.is(tryTakeToken(holder, endsAt), undefined);
});

test("a token that a call gives back keeps the instant at which it expires", (t) => {
  const holder = createHolderState(0);
  recordTokenGrant(holder, createGrant(1), { sentAt: 0, now: 5 });
  const token = tryTakeToken(holder, 10)!;
  t.is(tryTakeToken(holder, 10), undefined);
  addHeldTokens(holder, token);
  t.truthy(tryTakeToken(holder, tokenLifetimeMilliseconds - 1));
  addHeldTokens(holder, token);
  t.is(tryTakeToken(holder, tokenLifetimeMilliseconds), undefined);
});
