import test from "ava";
import { rankQuotaHosts } from "./rank_quota_hosts.ts";

const hosts = Array.from({ length: 68 }, (_, index) => `10.0.0.${index + 1}`);
const names = Array.from({ length: 2_000 }, (_, index) => `org-${index}`);

test("organisations are owned by all hosts about equally", (t) => {
  const counts = new Map<string, number>();
  names.forEach((name) => {
    const owner = rankQuotaHosts(name, hosts).owner ?? "";
    counts.set(owner, (counts.get(owner) ?? 0) + 1);
  });
  t.is(counts.size, hosts.length);
  t.true(Math.max(...counts.values()) < 2 * names.length / hosts.length);
});

test("without its owner, the deputy is the owner; the others keep theirs", (t) => {
  names.slice(0, 100).forEach((name) => {
    const { owner, deputy } = rankQuotaHosts(name, hosts);
    t.is(
      rankQuotaHosts(name, hosts.filter((host) => host !== owner)).owner,
      deputy,
    );
    const others = hosts.filter((host) => host === owner || host !== hosts[0]);
    t.is(rankQuotaHosts(name, others).owner, owner);
  });
});

test("one host has no deputy, and no host no owner", (t) => {
  t.deepEqual(rankQuotaHosts("org", ["10.0.0.1"]), {
    owner: "10.0.0.1",
    deputy: undefined,
    ranking: ["10.0.0.1"],
  });
  t.is(rankQuotaHosts("org", []).owner, undefined);
});
