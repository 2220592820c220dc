import * as z from "zod";

/** Schema of the parameters of the control method `settleCall`. */
export const settleCallSchema = z.object({
  /** The attempt whose outcome is queried. */
  attemptIdentifier: z.string().min(1),
  /** The call's deadline, in milliseconds since the Unix epoch; a fence is kept until then. */
  deadline: z.number(),
});
