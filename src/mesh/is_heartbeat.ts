import { isDeepStrictEqual } from "node:util";
import type { SourceItem } from "../source/source_item.ts";
import { SourceValueKind } from "../source/source_value_kind.ts";
import type { MeshView } from "./mesh_view.ts";

/** Whether an item only repeats, with a later sequence number, what the register lists. */
export function isHeartbeat(
  { register }: Pick<MeshView, "register">,
  { fact }: SourceItem,
): boolean {
  if (fact?.kind !== SourceValueKind.BackendServer) return false;
  const current = register.get(fact.entry.identifier);
  if (current === undefined || current.removedAt > 0) return false;
  const { sequence } = fact.entry;
  return isDeepStrictEqual({ ...current.entry, sequence }, fact.entry);
}
