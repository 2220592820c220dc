import type { QuotaRole } from "./quota_role.ts";

/** The reply to a request for tokens. */
export interface TokenGrant {
  readonly role: QuotaRole;
  readonly tokens: number;
  /**
   * Time until the requesting node can expect another token, in milliseconds; 0
   * unless it got fewer tokens than calls wait.
   */
  readonly retryMilliseconds: number;
}
