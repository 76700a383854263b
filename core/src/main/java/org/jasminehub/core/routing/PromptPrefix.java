package org.jasminehub.core.routing;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.jasminehub.core.internal.Checks;

/**
 * The beginnings of a prompt, shortest first, as caches may hold them.
 *
 * @param blocks one beginning each, with growing numbers of tokens
 */
public record PromptPrefix(List<Block> blocks) {
    /** How many characters of a prompt make up one block. */
    public static final int BLOCK_CHARS = 1024;
    /** How many blocks are told apart; a longer common beginning gains nothing more. */
    public static final int MAX_BLOCKS = 16;

    private static final int CHARS_PER_TOKEN = 4;

    /**
     * One beginning of a prompt.
     *
     * @param hash the hash of the whole beginning
     * @param tokens how many tokens it has
     */
    public record Block(long hash, long tokens) {
        /** Creates a checked block. */
        public Block {
            Checks.positive("tokens", tokens);
        }
    }

    /** Creates a prefix. */
    public PromptPrefix {
        blocks = List.copyOf(blocks);
    }

    /** Returns a prompt without a beginning that anyone shares. */
    public static PromptPrefix none() {
        return new PromptPrefix(List.of());
    }

    /** Returns the beginnings of a prompt's text in whole blocks. */
    public static PromptPrefix ofText(String prompt) {
        List<Block> blocks = new ArrayList<>();
        long previousHash = 0;
        int end = BLOCK_CHARS;
        while (end <= prompt.length() && blocks.size() < MAX_BLOCKS) {
            Hasher hasher = Hashing.murmur3_128().newHasher().putLong(previousHash);
            HashCode hash = hasher.putString(prompt.substring(end - BLOCK_CHARS, end), StandardCharsets.UTF_8)
                    .hash();
            previousHash = hash.asLong();
            blocks.add(new Block(previousHash, end / CHARS_PER_TOKEN));
            end += BLOCK_CHARS;
        }
        return new PromptPrefix(blocks);
    }
}
