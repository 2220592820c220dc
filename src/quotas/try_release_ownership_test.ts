import test from "ava";
import { createGranterState } from "./create_granter_state.ts";
import { getQuotaRole } from "./get_quota_role.ts";
import { grantTokens } from "./grant_tokens.ts";
import { isQuotaLeased } from "./is_quota_leased.ts";
import { QuotaRole } from "./quota_role.ts";
import { setQuotaHosts } from "./set_quota_hosts.ts";
import { tryLeaseQuota } from "./try_lease_quota.ts";
import { tryReleaseOwnership } from "./try_release_ownership.ts";

const handoverMilliseconds = 7_000;
const hosts = { owner: "a", deputy: "b", ranking: ["a", "b", "c"] };
const limits = {
  callsPerSecond: 100,
  capacityCalls: 50,
  reducedCallsPerSecond: 10,
  reducedCapacityCalls: 10,
};

function createOwner() {
  return createGranterState({
    hosts,
    limits,
    ownHost: "a",
    establishedAt: 0,
    newHosts: new Set(),
    now: 0,
  });
}

function createLeasingOwner() {
  const owner = createOwner();
  lease(owner, 1_000);
  return owner;
}

function lease(owner: ReturnType<typeof createOwner>, now: number): boolean {
  return tryLeaseQuota(owner, {
    host: "b",
    isPaused: true,
    handoverMilliseconds,
    now,
  });
}

function release(
  owner: ReturnType<typeof createOwner>,
  host: string,
  now: number,
): boolean {
  return tryReleaseOwnership(owner, {
    host,
    handoverMilliseconds,
    leaseNow: now,
    now,
  });
}

// Guards against a second owner beside the lessee, where a message is repeated.
test("an owner that has leased the quota says so each time it is asked to release it", (t) => {
  const owner = createLeasingOwner();
  t.false(release(owner, "c", 2_000));
  t.true(isQuotaLeased(owner, 2_000));
  t.false(release(owner, "c", 2_250));
  t.true(isQuotaLeased(owner, 2_250));
});

test("a former owner that has leased the quota still says so", (t) => {
  const owner = createLeasingOwner();
  const options = { ownHost: "a", handoverMilliseconds, leaseNow: 2_000 };
  const changed = { owner: "c", deputy: "b", ranking: ["c", "b"] };
  setQuotaHosts(owner, { ...options, hosts: changed, now: 2_000 });
  t.true(isQuotaLeased(owner, 2_250));
  t.false(release(owner, "c", 2_250));
  t.false(lease(owner, 2_500), "it is not the owner any more");
});

// Guards against a time at the reduced rate after the lease, while an owner that
// stops is removed and its lessee follows it.
test("an owner releases the quota to its lessee", (t) => {
  const owner = createLeasingOwner();
  t.true(release(owner, "b", 2_000));
  const former = createLeasingOwner();
  const options = { ownHost: "a", handoverMilliseconds, leaseNow: 2_000 };
  const changed = { owner: "b", deputy: "c", ranking: ["b", "c"] };
  setQuotaHosts(former, { ...options, hosts: changed, now: 2_000 });
  t.true(release(former, "b", 2_250));
  t.false(release(former, "b", 2_000 + handoverMilliseconds));
});

// Guards against two owners: a VM that was suspended may resume with a steady
// clock that stood still, long after the new owner was established.
test("a former owner that was suspended does not grant on", (t) => {
  const owner = createOwner();
  const changed = { owner: "c", deputy: "b", ranking: ["c", "b"] };
  const options = { ownHost: "a", handoverMilliseconds, leaseNow: 1_000 };
  setQuotaHosts(owner, { ...options, hosts: changed, now: 1_000 });
  const paused = { ownHost: "a", isPaused: false };
  t.is(
    getQuotaRole(owner, { ...paused, leaseNow: 1_500, now: 1_500 }),
    QuotaRole.Owner,
  );
  t.is(
    getQuotaRole(owner, { ...paused, leaseNow: 31_500, now: 1_500 }),
    QuotaRole.None,
  );
  t.false(
    tryReleaseOwnership(owner, {
      host: "c",
      handoverMilliseconds,
      leaseNow: 31_500,
      now: 1_500,
    }),
  );
});

// Guards against two nodes with the whole rate.
test("an owner that may grant does not lease the quota", (t) => {
  const owner = createOwner();
  t.false(
    tryLeaseQuota(owner, {
      host: "b",
      isPaused: false,
      handoverMilliseconds,
      now: 1_000,
    }),
  );
  t.is(owner.lessee, undefined);
});

// Guards against a burst for each life of a process.
test("a process starts with empty buckets", (t) => {
  const request = { waitingCalls: 1, expectedCalls: 10 };
  [QuotaRole.Owner, QuotaRole.Reduced].forEach((role) =>
    t.is(
      grantTokens(createOwner(), request, { role, host: "c", now: 0 }).tokens,
      0,
    )
  );
});
