import type { Route } from "../configuration/route.ts";
import type { Service } from "../configuration/service.ts";
import type { Snapshot } from "../configuration/snapshot.ts";
import type { CallKey } from "./call_key.ts";

/** A caller's request after its headers were validated and its route was found. */
export interface CallerCall {
  readonly snapshot: Snapshot;
  readonly route: Route;
  readonly service: Service;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  /** Alternating names and values, without hop-by-hop headers and headers of the mesh. */
  readonly headers: readonly string[];
  /** In milliseconds since the Unix epoch. */
  readonly deadline: number;
  readonly idempotent: boolean;
  /** Set only for a call that is not idempotent; undefined if the caller sent no key. */
  readonly key: CallKey | undefined;
}
