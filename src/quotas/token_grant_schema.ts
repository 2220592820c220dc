import { z } from "zod";
import { QuotaRole } from "./quota_role.ts";

/** Bounds what a malformed reply can do to a holder. */
const tokensMaximum = 20_000;
const retryMillisecondsMaximum = 60_000;

/** The reply to a request for tokens. */
export const tokenGrantSchema = z.object({
  role: z.nativeEnum(QuotaRole),
  tokens: z.number().int().min(0).max(tokensMaximum),
  retryMilliseconds: z.number().min(0).max(retryMillisecondsMaximum),
});
