import { z } from "zod";

/** The reply to a request to give the ownership up, or to lease it. */
export const releaseReplySchema = z.object({
  released: z.boolean(),
  /** Whether the deputy of this owner may grant in its place; omitted if not. */
  leased: z.boolean().optional(),
});
