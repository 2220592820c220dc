import type { StatedLimitKind } from "./stated_limit_kind.ts";
import type { TokenBucket } from "./token_bucket.ts";

/** The rate limit that a backend server states in its answers. */
export type StatedLimit =
  | { readonly kind: StatedLimitKind.Unknown }
  | { readonly kind: StatedLimitKind.None }
  | {
    readonly kind: StatedLimitKind.Limited;
    /** The most calls a second from all nodes together. */
    readonly callsPerSecond: number;
    /** When it was stated last, in milliseconds since the Unix epoch. */
    readonly statedAt: number;
    readonly bucket: TokenBucket;
  };
