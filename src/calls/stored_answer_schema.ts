import * as z from "zod";

/** How a kept answer travels in control messages: the body in Base64. */
export const storedAnswerSchema = z.object({
  status: z.number().int().min(200).max(599),
  headers: z.array(z.string()),
  declaredLength: z.number().int().min(0).optional(),
  body: z.string(),
});
