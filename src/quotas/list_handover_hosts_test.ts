import test from "ava";
import { listHandoverHosts } from "./list_handover_hosts.ts";

const ranking = ["a", "b", "c", "d", "e", "f"];

test("a host that is not new asks its deputy only", (t) =>
  t.deepEqual(listHandoverHosts(ranking, new Set(["b", "c"])), ["b"]));

test("a new host asks the first that is not new, and all before it", (t) => {
  t.deepEqual(listHandoverHosts(ranking, new Set(["a"])), ["b"]);
  t.deepEqual(listHandoverHosts(ranking, new Set(["a", "b", "c"])), [
    "b",
    "c",
    "d",
  ]);
});

test("if all hosts are new, some are asked; the only host asks none", (t) => {
  t.deepEqual(listHandoverHosts(ranking, new Set(ranking)), [
    "b",
    "c",
    "d",
    "e",
  ]);
  t.deepEqual(listHandoverHosts(["a"], new Set()), []);
});
