import { z } from "zod";

/** The reply to a request to give the ownership up. */
export const releaseReplySchema = z.object({ released: z.boolean() });
